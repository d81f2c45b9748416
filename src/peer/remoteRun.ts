/** One task at an owner on another node, from its offer to its outcome. */
import type { MessageBody } from '../owner/message-body.js';
import type { OwnerOutcome, OwnerTask, OwnerUnknown } from '../owner/owner.js';
import { createRejection } from '../owner/owner.js';
import { type BodyReceiver, createBodyReceiver } from './bodyReceiver.js';
import { createLivenessTimer, type LivenessTimer } from './livenessTimer.js';
import { inlineBytes, type PeerConnection } from './peerConnection.js';
import { type AnswerMessage, MessageKind, type PeerMessage, taskFieldsOf } from './peerMessages.js';
import type { PeerState, RemoteOwnerContext } from './peerState.js';

/** An answer up to this size, in bytes, is read whole before any of it is passed on. */
const MAX_HELD_ANSWER_BYTES = 256 * 1024;

/**
 * A node that has been heard of within this time, in milliseconds, gets a task that may be repeated
 * together with its body. One that has not may be gone: it is asked first, which costs nothing of
 * the retry budget.
 */
const FRESH_MS = 1_000;

/** How far an exchange has come. */
enum Stage {
  /** Offered; the owner has said nothing yet. */
  Offered = 'offered',
  /** The owner has queued it. */
  Queued = 'queued',
  /** The owner has, or may have, all it needs to run the task. */
  Committed = 'committed',
}

/** Created for each task; `run` is called once. */
export class RemoteRun {
  private stage = Stage.Offered;
  private settled = false;
  /** True from the owner's admission until the last chunk of the request's body is sent. */
  private owesBody = false;
  private answer: { readonly message: AnswerMessage; readonly receiver: BodyReceiver } | undefined;
  private readonly patience: LivenessTimer;
  private readonly connection: PeerConnection;
  private forget: () => void = () => {};
  private resolve: (outcome: OwnerOutcome) => void = () => {};

  constructor(
    private readonly task: OwnerTask,
    private readonly peer: PeerState,
    private readonly context: RemoteOwnerContext,
  ) {
    this.connection = peer.pool.acquire();
    this.patience = createLivenessTimer({
      clock: context.clock,
      peer,
      isOfferPending: () => this.stage === Stage.Offered,
      ping: () => this.ping(),
      onReply: context.onReply,
      onTimeout: (isPeerActive) => this.onTimeout(isPeerActive),
    });
  }

  run(): Promise<OwnerOutcome> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.connection.setListener({
        onMessage: (message) => this.onMessage(message),
        onClose: () => this.onClose(),
      });
      this.forget = this.task.cancellation.onCancel(() => this.onCancel());
      this.offer();
    });
  }

  private offer(): void {
    const { clock, sender } = this.context;
    const now = clock.now();
    const body = this.bodyToSendAtOnce(now);
    this.patience.start();
    this.connection.send({
      kind: MessageKind.Offer,
      sender: sender(),
      task: taskFieldsOf(this.task, now),
      method: this.task.method,
      target: this.task.target,
      headers: this.task.headers,
      body,
    });
    if (body) {
      this.stage = Stage.Committed;
      this.task.onProgress('admitted');
    }
  }

  private bodyToSendAtOnce(now: number): Buffer | undefined {
    const { repeatable, bufferedBody } = this.task;
    const isFresh = now - this.peer.lastReceivedAt < FRESH_MS;
    return repeatable && bufferedBody && isFresh ? inlineBytes(bufferedBody) : undefined;
  }

  private onMessage(message: PeerMessage): void {
    this.patience.noteReceived();
    switch (message.kind) {
      case MessageKind.Queued:
        this.stage = this.stage === Stage.Offered ? Stage.Queued : this.stage;
        return;
      case MessageKind.Admitted:
        void this.commit();
        return;
      case MessageKind.Overdue:
        this.task.onProgress('silent');
        return;
      case MessageKind.Pong:
        return;
      case MessageKind.TurnedAway:
      case MessageKind.Lost:
        this.context.onReport(message.report);
        this.settle(message.outcome);
        this.release();
        return;
      case MessageKind.Answer:
        this.onAnswer(message);
        return;
      case MessageKind.Chunk:
        this.onChunk(message);
        return;
      default:
        this.connection.destroy();
    }
  }

  /** The owner has admitted the task: from the end of the body on, it may run. */
  private async commit(): Promise<void> {
    this.owesBody = true;
    try {
      const body = await this.task.loadBody();
      if (this.settled) {
        return;
      }
      this.stage = Stage.Committed;
      this.task.onProgress('admitted');
      await this.connection.sendBody(body);
      this.owesBody = false;
    } catch {
      this.connection.destroy();
    }
  }

  private onAnswer(message: AnswerMessage): void {
    this.context.onReport(message.report);
    if (message.body) {
      this.settle(answerOf(message, { kind: 'bytes', bytes: message.body }));
      this.release();
      return;
    }
    const receiver = createBodyReceiver(this.connection, MAX_HELD_ANSWER_BYTES, () =>
      this.connection.destroy(),
    );
    this.answer = { message, receiver };
    receiver.body.then(
      (body) => this.settle(answerOf(message, body)),
      () => this.settle(LOST),
    );
  }

  private onChunk(message: PeerMessage & { kind: MessageKind.Chunk }): void {
    if (!this.answer) {
      this.connection.destroy();
      return;
    }
    this.answer.receiver.onChunk(message);
    if (message.isLast) {
      this.release();
    }
  }

  private onClose(): void {
    this.answer?.receiver.abort();
    if (this.settled) {
      return;
    }
    this.context.onFailure('unreachable');
    this.settle(this.mayHaveRun ? LOST : createRejection('peer-unreachable'));
  }

  /** Nothing reaches an owner before the connection stands. */
  private get mayHaveRun(): boolean {
    return this.stage === Stage.Committed && this.connection.wasEstablished;
  }

  private onCancel(): void {
    this.settle(
      this.mayHaveRun ? { kind: 'unknown', reason: 'cancelled' } : createRejection('cancelled'),
    );
    this.connection.destroy();
  }

  private ping(): boolean {
    if (this.task.repeatable) {
      this.connection.send({ kind: MessageKind.Ping });
    }
    return this.task.repeatable;
  }

  /**
   * A task that the owner may run is not given up: silence is no proof that the owner is gone, its
   * link may be full. Who sent the task is told, and may ask another owner meanwhile.
   */
  private onTimeout(isPeerActive: boolean): void {
    if (!isPeerActive) {
      this.context.onFailure('silent');
      // Connections may go silent for good while new ones work: those that are kept are as old.
      this.peer.pool.closeIdle();
    }
    if (this.mayHaveRun) {
      this.task.onProgress('silent');
      return;
    }
    this.settle(createRejection('peer-silent'));
    this.connection.destroy();
  }

  /** The exchange has ended on both sides; one whose body is still on its way has not. */
  private release(): void {
    if (this.owesBody) {
      this.connection.destroy();
    } else {
      this.peer.pool.release(this.connection);
    }
  }

  private settle(outcome: OwnerOutcome): void {
    if (!this.settled) {
      this.settled = true;
      this.patience.stop();
      this.forget();
      this.resolve(outcome);
    }
  }
}

const LOST: OwnerUnknown = { kind: 'unknown', reason: 'peer-lost' };

function answerOf({ status, headers }: AnswerMessage, body: MessageBody): OwnerOutcome {
  return { kind: 'answer', status, headers, body };
}
