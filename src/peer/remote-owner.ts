/** An owner on another node, reached over the network. */
import http from 'node:http';
import type { Clock } from '../model/clock.js';
import { collectBody, sendBody } from '../owner/message-body.js';
import type { Owner, OwnerOutcome, OwnerTask, OwnerUnknown } from '../owner/owner.js';
import { turnedAway } from '../owner/owner.js';
import { endToEndFields } from '../owner/raw-headers.js';
import {
  ANSWER_OUTCOME,
  CALL_FIELD,
  decodeOutcome,
  decodeReport,
  encodeSender,
  encodeTask,
  OUTCOME_FIELD,
  type PeerReport,
  type PeerSender,
  REPORT_FIELD,
  SENDER_FIELD,
  TASK_FIELD,
} from './peer-protocol.js';

/** An answer up to this size, in bytes, is read whole before any of it is passed on. */
const MAX_HELD_ANSWER_BYTES = 256 * 1024;

/** What a remote owner needs of its node. */
export interface RemoteOwnerOptions {
  readonly clock: Clock;
  readonly agent: http.Agent;
  readonly sender: () => PeerSender;
  /** Milliseconds within which an owner must have answered or acknowledged a task. */
  readonly silenceLimitMs: () => number;
  readonly onReport: (report: PeerReport) => void;
  /** The node did not answer in time, or its connection failed. */
  readonly onFailure: (cause: 'silent' | 'unreachable') => void;
}

/** One for each other node. */
export class RemoteOwner implements Owner {
  constructor(
    /** `host:port` of the node. */
    readonly address: string,
    private readonly options: RemoteOwnerOptions,
  ) {}

  run(task: OwnerTask): Promise<OwnerOutcome> {
    return new RemoteRun(this.address, task, this.options).run();
  }
}

class RemoteRun {
  /** True once the owner may have run the task. */
  private committed = false;
  private acknowledged = false;
  private settled = false;
  private resolve: (outcome: OwnerOutcome) => void = () => {};
  private release: () => void = () => {};

  constructor(
    private readonly address: string,
    private readonly task: OwnerTask,
    private readonly options: RemoteOwnerOptions,
  ) {}

  run(): Promise<OwnerOutcome> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      const request = this.open();
      const silence = setTimeout(() => this.onSilence(request), this.options.silenceLimitMs());
      const forget = this.task.cancellation.onCancel(() => this.onCancel(request));
      this.release = () => {
        clearTimeout(silence);
        forget();
      };
      const acknowledge = () => {
        this.acknowledged = true;
        clearTimeout(silence);
      };
      request.on('information', acknowledge);
      request.on('continue', () => {
        acknowledge();
        void this.commit(request);
      });
      request.on('response', (response) => {
        acknowledge();
        void this.onResponse(request, response);
      });
      request.on('error', () => this.onError());
      request.flushHeaders();
    });
  }

  private open(): http.ClientRequest {
    const separator = this.address.lastIndexOf(':');
    const { task, options } = this;
    const headers = [
      ...task.headers,
      CALL_FIELD,
      'task',
      TASK_FIELD,
      encodeTask(task, options.clock.now()),
      SENDER_FIELD,
      encodeSender(options.sender()),
      'Connection',
      'keep-alive',
      'Expect',
      '100-continue',
      'Transfer-Encoding',
      'chunked',
    ];
    return http.request({
      host: this.address.slice(0, separator),
      port: Number(this.address.slice(separator + 1)),
      method: task.method,
      path: task.target,
      headers: headers as unknown as http.OutgoingHttpHeaders,
      agent: options.agent,
    });
  }

  /** The owner has admitted the task: from the end of the body on, it may run. */
  private async commit(request: http.ClientRequest): Promise<void> {
    if (this.settled) {
      request.destroy();
      return;
    }
    try {
      const body = await this.task.loadBody();
      if (this.settled) {
        request.destroy();
        return;
      }
      this.committed = true;
      this.task.onProgress('admitted');
      await sendBody(body, request);
    } catch {
      request.destroy();
    }
  }

  private async onResponse(
    request: http.ClientRequest,
    response: http.IncomingMessage,
  ): Promise<void> {
    this.noteReport(response);
    const outcome = response.headers[OUTCOME_FIELD];
    if (outcome === ANSWER_OUTCOME) {
      const answer = await this.takeAnswer(response);
      this.finishRequest(request);
      this.settle(answer);
      return;
    }
    response.on('error', () => {});
    response.resume();
    this.finishRequest(request);
    this.settle(typeof outcome === 'string' ? decodeOutcome(outcome) : this.lost());
  }

  private async takeAnswer(response: http.IncomingMessage): Promise<OwnerOutcome> {
    const body = await collectBody(response, MAX_HELD_ANSWER_BYTES).catch(() => undefined);
    if (!body) {
      return this.lost();
    }
    return {
      kind: 'answer',
      status: response.statusCode ?? 0,
      headers: endToEndFields(response.rawHeaders, response.headers.connection),
      body,
    };
  }

  /** A task that was turned away keeps its connection: an empty body ends it. */
  private finishRequest(request: http.ClientRequest): void {
    if (request.writableFinished) {
      return;
    }
    if (this.committed) {
      request.destroy();
    } else {
      request.end();
    }
  }

  private noteReport(response: http.IncomingMessage): void {
    const text = response.headers[REPORT_FIELD];
    const report = typeof text === 'string' ? decodeReport(text) : undefined;
    if (report) {
      this.options.onReport(report);
    }
  }

  private onSilence(request: http.ClientRequest): void {
    if (this.acknowledged || this.settled) {
      return;
    }
    this.options.onFailure('silent');
    this.settle(this.committed ? this.lost() : turnedAway('peer-silent'));
    request.destroy();
  }

  private onCancel(request: http.ClientRequest): void {
    this.settle(
      this.committed ? { kind: 'unknown', reason: 'cancelled' } : turnedAway('cancelled'),
    );
    request.destroy();
  }

  private onError(): void {
    if (this.settled) {
      return;
    }
    this.options.onFailure('unreachable');
    this.settle(this.committed ? this.lost() : turnedAway('peer-unreachable'));
  }

  private lost(): OwnerUnknown {
    return { kind: 'unknown', reason: 'peer-lost' };
  }

  private settle(outcome: OwnerOutcome): void {
    if (!this.settled) {
      this.settled = true;
      this.release();
      this.resolve(outcome);
    }
  }
}
