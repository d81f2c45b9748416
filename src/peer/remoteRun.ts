/** Runs one task at an owner on another node, from the offer to the end of its outcome. */
import type { MessageBody } from '../owner/message-body.js';
import type {
  OwnerAnswer,
  OwnerOutcome,
  OwnerTask,
  OwnerUnknown,
  UnknownReason,
} from '../owner/owner.js';
import { createRejection } from '../owner/owner.js';
import { type BodyReceiver, createBodyReceiver } from './bodyReceiver.js';
import { createLivenessTimer, type LivenessTimer } from './livenessTimer.js';
import { inlineBytes, type PeerConnection } from './peerConnection.js';
import { type AnswerMessage, MessageKind, type PeerMessage, taskFieldsOf } from './peerMessages.js';
import type { PeerState, RemoteOwnerContext } from './peerState.js';

/** Largest body of an answer, in bytes, that is buffered whole before it is passed on. */
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/**
 * An offer of a repeatable task contains a buffered body that fits into one message if the node has
 * sent any message within this time, in milliseconds. A node without such recent contact may be
 * down and gets the head alone: if it does not respond, the task has certainly not run, and another
 * attempt costs nothing of the retry budget.
 */
const RECENT_CONTACT_MS = 1_000;

/** Progress of an exchange. */
enum Stage {
  /** The offer is sent; the owner has not responded. */
  Offered = 'offered',
  /** The owner has queued the task. */
  Queued = 'queued',
  /** The body is being sent or has been sent, so the owner may run the task. */
  Committed = 'committed',
}

/** Created for each task; `run` may be called only once. */
export class RemoteRun {
  private stage = Stage.Offered;
  private settled = false;
  /** True from the owner's admission until the last chunk of the request body is sent. */
  private isBodyPending = false;
  /** Receives the body of an answer that arrives in chunks. */
  private receiver: BodyReceiver | undefined;
  /** Resolves the end of such an answer. */
  private resolveEnd: (reason: UnknownReason | undefined) => void = () => {};
  private readonly livenessTimer: LivenessTimer;
  private readonly connection: PeerConnection;
  private unsubscribe: () => void = () => {};
  private resolve: (outcome: OwnerOutcome) => void = () => {};

  constructor(
    private readonly task: OwnerTask,
    private readonly peer: PeerState,
    private readonly context: RemoteOwnerContext,
  ) {
    this.connection = peer.pool.acquire();
    this.livenessTimer = createLivenessTimer({
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
      this.unsubscribe = this.task.cancellation.onCancel(() => this.onCancel());
      this.offer();
    });
  }

  private offer(): void {
    const { clock, sender } = this.context;
    const now = clock.now();
    const body = this.bodyForOffer(now);
    this.livenessTimer.start();
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

  private bodyForOffer(now: number): Buffer | undefined {
    const { repeatable, bufferedBody } = this.task;
    const isRecent = now - this.peer.lastReceivedAt < RECENT_CONTACT_MS;
    return repeatable && bufferedBody && isRecent ? inlineBytes(bufferedBody) : undefined;
  }

  private onMessage(message: PeerMessage): void {
    this.livenessTimer.noteReceived();
    switch (message.kind) {
      case MessageKind.Queued:
        this.stage = this.stage === Stage.Offered ? Stage.Queued : this.stage;
        return;
      case MessageKind.Admitted:
        void this.sendAdmittedBody();
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

  /** Sends the body of an admitted task. From then on the owner may run the task. */
  private async sendAdmittedBody(): Promise<void> {
    this.isBodyPending = true;
    try {
      const body = await this.task.loadBody();
      if (this.settled) {
        return;
      }
      this.stage = Stage.Committed;
      this.task.onProgress('admitted');
      await this.connection.sendBody(body);
      this.isBodyPending = false;
    } catch {
      this.connection.destroy();
    }
  }

  private onAnswer(message: AnswerMessage): void {
    this.context.onReport(message.report);
    if (message.body) {
      this.settle(createAnswer(message, { kind: 'bytes', bytes: message.body }));
      this.release();
      return;
    }
    const receiver = createBodyReceiver(this.connection, MAX_BUFFERED_ANSWER_BYTES, () =>
      this.connection.destroy(),
    );
    this.receiver = receiver;
    const end = new Promise<UnknownReason | undefined>((resolve) => {
      this.resolveEnd = resolve;
    });
    receiver.body.then(
      (body) => this.settle(createAnswer(message, body, end)),
      () => this.settle(PEER_LOST),
    );
  }

  private onChunk(message: PeerMessage & { kind: MessageKind.Chunk }): void {
    if (!this.receiver) {
      this.connection.destroy();
      return;
    }
    if (message.breakReason !== undefined) {
      this.onBreak(message.breakReason);
      return;
    }
    this.receiver.onChunk(message);
    if (message.isLast) {
      this.release();
      this.endAnswer(undefined);
    }
  }

  /** The owner has stated why the rest of the answer does not come. */
  private onBreak(reason: UnknownReason): void {
    this.endAnswer(reason);
    this.receiver?.abort();
    this.settle({ kind: 'unknown', reason });
    this.connection.destroy();
  }

  private onClose(): void {
    if (this.settled) {
      this.endAnswer(PEER_LOST.reason);
      this.receiver?.abort();
      return;
    }
    this.receiver?.abort();
    this.context.onFailure('unreachable');
    this.settle(this.mayHaveRun ? PEER_LOST : createRejection('peer-unreachable'));
  }

  /** True if the body may have reached the owner: not before the socket has connected. */
  private get mayHaveRun(): boolean {
    return this.stage === Stage.Committed && this.connection.wasEstablished;
  }

  private onCancel(): void {
    if (this.settled) {
      this.endAnswer('cancelled');
    } else {
      this.settle(
        this.mayHaveRun ? { kind: 'unknown', reason: 'cancelled' } : createRejection('cancelled'),
      );
    }
    // On a slow link the task may still wait to be sent, and the owner must not get it any more.
    this.connection.reset();
  }

  private ping(): boolean {
    if (this.task.repeatable) {
      this.connection.send({ kind: MessageKind.Ping });
    }
    return this.task.repeatable;
  }

  /**
   * Handles an offer or a ping that has timed out. A task that the owner may have run is not given
   * up, because the owner may be up and its link congested. The exchange then only reports
   * `silent` as the task's progress, and the ingress may try another owner at the same time.
   */
  private onTimeout(isPeerActive: boolean): void {
    if (!isPeerActive) {
      this.context.onFailure('silent');
      // Old connections can stop carrying data for good while new ones work. The idle connections
      // are as old as this one, so they are closed.
      this.peer.pool.closeIdle();
    }
    if (this.mayHaveRun) {
      this.task.onProgress('silent');
      return;
    }
    this.settle(createRejection('peer-silent'));
    this.connection.destroy();
  }

  /**
   * Returns the connection to the pool after the owner's last message. Destroys it if the request
   * body is still being sent, because the exchange has then not ended on both sides.
   */
  private release(): void {
    if (this.isBodyPending) {
      this.connection.destroy();
    } else {
      this.peer.pool.release(this.connection);
    }
  }

  private settle(outcome: OwnerOutcome): void {
    if (this.settled) {
      return;
    }
    this.settled = true;
    this.livenessTimer.stop();
    if (outcome.kind !== 'answer' || !outcome.end) {
      this.unsubscribe();
    }
    this.resolve(outcome);
  }

  /** The last chunk of the answer has arrived, or will not; `reason` is why. */
  private endAnswer(reason: UnknownReason | undefined): void {
    this.unsubscribe();
    this.resolveEnd(reason);
  }
}

const PEER_LOST: OwnerUnknown = { kind: 'unknown', reason: 'peer-lost' };

function createAnswer(
  { status, headers, isCall }: AnswerMessage,
  body: MessageBody,
  end?: OwnerAnswer['end'],
): OwnerOutcome {
  const answer: OwnerAnswer = { kind: 'answer', status, headers, body, isCall };
  return body.kind === 'stream' ? { ...answer, end } : answer;
}
