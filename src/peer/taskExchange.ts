/** Runs the tasks of other nodes on the local owner, each from its offer to the end of its outcome. */
import type { Clock } from '../model/clock.js';
import { afterPendingReads } from '../model/readBarrier.js';
import type { SuspendAwareTimers } from '../model/suspendAwareTimers.js';
import { Cancellation } from '../owner/cancellation.js';
import { whenEnded } from '../owner/outcomeEnd.js';
import type { Owner, OwnerAnswer, OwnerOutcome, OwnerTask } from '../owner/owner.js';
import { type BodyReceiver, createBodyReceiver } from './bodyReceiver.js';
import { inlineBytes, type PeerConnection } from './peerConnection.js';
import {
  MessageKind,
  type OfferMessage,
  type PeerMessage,
  type PeerReport,
} from './peerMessages.js';

/** Largest body, in bytes, that is buffered whole before it is sent to the back end. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/**
 * Milliseconds after a task's deadline at which the owner ends the task itself. The ingress usually
 * has done so by then.
 */
const EXPIRY_SLACK_MS = 250;

/** Longest delay in milliseconds that the runtime's timers can have. */
const MAX_TIMER_MS = 2 ** 31 - 1;

const NO_BYTES = Buffer.alloc(0);

/** Dependencies on the node. */
export interface TaskExchangeContext {
  readonly clock: Clock;
  readonly timers: SuspendAwareTimers;
  readonly owner: Owner;
  readonly report: () => PeerReport;
}

/** Runs one task of another node, from its offer until its outcome has been sent. */
export class TaskExchange {
  private readonly cancellation = new Cancellation();
  private readonly arrivedAt: number;
  private receiver: BodyReceiver | undefined;
  private hasEnded = false;

  constructor(
    private readonly connection: PeerConnection,
    private readonly offer: OfferMessage,
    private readonly context: TaskExchangeContext,
  ) {
    this.arrivedAt = context.clock.now();
  }

  async run(): Promise<void> {
    // The ingress may have cancelled the task while this node had no time to read.
    await afterPendingReads();
    const task = this.task();
    const cancelTimer = this.startTimer(task);
    const outcome = await this.context.owner.run(task);
    // A back end may answer before it has read the whole body of the request.
    whenEnded(outcome, () => this.receiver?.discard());
    if (!this.cancellation.cancelled) {
      await this.sendOutcome(outcome).catch(() => this.connection.destroy());
      await this.connection.flushed();
    }
    cancelTimer();
    this.hasEnded = true;
  }

  /** Ends the task if the ingress has not done so: it may be gone without a trace. */
  private startTimer({ deadlineAt }: OwnerTask): () => void {
    const leftMs = Math.max(0, deadlineAt - this.context.clock.now());
    const onExpired = (): void => {
      this.cancellation.cancel();
      this.connection.destroy();
    };
    return this.context.timers.set(onExpired, Math.min(leftMs + EXPIRY_SLACK_MS, MAX_TIMER_MS));
  }

  /** Returns false if no chunk is expected. */
  onChunk(chunk: PeerMessage & { kind: MessageKind.Chunk }): boolean {
    if (!this.receiver || this.receiver.isComplete) {
      return false;
    }
    this.receiver.onChunk(chunk);
    return true;
  }

  onClose(): void {
    this.receiver?.abort();
    if (!this.hasEnded) {
      this.cancellation.cancel();
    }
  }

  private task(): OwnerTask {
    const { task, method, target, headers, body } = this.offer;
    const bufferedBody = body && ({ kind: 'bytes', bytes: body } as const);
    return {
      ...task,
      method,
      target,
      headers,
      deadlineAt: this.arrivedAt + task.remainingMs,
      targetAt: this.arrivedAt + task.targetMs,
      cancellation: this.cancellation,
      bufferedBody,
      loadBody: () => (bufferedBody ? Promise.resolve(bufferedBody) : this.requestBody()),
      onProgress: (stage) => {
        if (stage === 'queued' && !bufferedBody) {
          this.connection.send({ kind: MessageKind.Queued });
        }
        if (stage === 'silent') {
          this.connection.send({ kind: MessageKind.Overdue });
        }
      },
    };
  }

  private requestBody(): BodyReceiver['body'] {
    this.receiver = createBodyReceiver(this.connection, MAX_BUFFERED_BODY_BYTES);
    this.connection.send({ kind: MessageKind.Admitted });
    return this.receiver.body;
  }

  private async sendOutcome(outcome: OwnerOutcome): Promise<void> {
    const report = this.context.report();
    switch (outcome.kind) {
      case 'not-run':
        this.connection.send({ kind: MessageKind.TurnedAway, outcome, report });
        return;
      case 'unknown':
        this.connection.send({ kind: MessageKind.Lost, outcome, report });
        return;
      default:
        await this.sendAnswer(outcome, report);
    }
  }

  private async sendAnswer(answer: OwnerAnswer, report: PeerReport): Promise<void> {
    const { status, headers, isCall } = answer;
    const body = inlineBytes(answer.body);
    this.connection.send({ kind: MessageKind.Answer, status, headers, body, report, isCall });
    if (!body) {
      await this.sendBody(answer);
    }
  }

  /** Sends the body in chunks, or as much of it as there is and why it breaks off. */
  private async sendBody({ body, end }: OwnerAnswer): Promise<void> {
    try {
      await this.connection.sendBody(body);
    } catch {
      const breakReason = await end;
      this.connection.send({
        kind: MessageKind.Chunk,
        bytes: NO_BYTES,
        isLast: false,
        breakReason,
      });
      this.connection.end();
    }
  }
}
