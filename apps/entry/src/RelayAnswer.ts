/**
 * The answer to an opaque call, passed on as the backend server gave it.
 *
 * A whole answer is held until its last byte has come, up to a bound: one that is cut on the way
 * has then not begun for the caller, and the call can be tried elsewhere. A stream of events goes
 * out event by event and remembers the last one, so that another backend server can go on with it.
 * The last failure that a backend server answered is kept: if nothing better comes, the caller is
 * told in the backend server's own words.
 */
import type { ServerResponse } from 'node:http';
import type { HeaderLine, RelayResponse } from '@hornbeampond/adapters';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { CallerAnswer } from './CallerAnswer.js';
import type { CallProtocol } from './CallProtocol.js';
import { EventStreamSplitter } from './EventStreamSplitter.js';

/** Larger answers are passed on as they come; holding many of them would cost too much memory. */
const MOST_HELD_BYTES = 256 * 1024;

interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly body: Buffer;
}

export class RelayAnswer extends CallerAnswer {
  /** The last event that the caller has. */
  lastEventId: string | undefined;

  /** The longest time between two pieces of the answer, over all attempts. */
  longestPause: Milliseconds = 0;

  private pieceAt: MonotonicMilliseconds | undefined;

  /** Whole events that have gone to the caller. */
  eventsSent = 0;

  private head: Pick<RelayResponse, 'status' | 'headers' | 'isStream'> | undefined;

  private cutter = new EventStreamSplitter();

  private held: Uint8Array[] = [];

  private heldBytes = 0;

  private kept: KeptAnswer | undefined;

  constructor(
    requestId: string,
    response: ServerResponse,
    private readonly protocol: CallProtocol,
    resumeAfter: string | undefined,
  ) {
    super(requestId, response);
    this.lastEventId = resumeAfter;
  }

  override get tokensGiven(): number | undefined {
    return this.eventsSent > 0 ? this.eventsSent : undefined;
  }

  /** True while the backend server is in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.head?.isStream === true && this.cutter.pendingBytes.length > 0;
  }

  /** Takes note that a piece of the answer has come. */
  recordBytesReceived(now: MonotonicMilliseconds): void {
    this.longestPause = Math.max(this.longestPause, now - (this.pieceAt ?? now));
    this.pieceAt = now;
  }

  /** Takes in the head of a backend server's answer; a stream that goes on keeps its first head. */
  receiveHead({ status, headers, isStream }: RelayResponse): void {
    this.cutter = new EventStreamSplitter();
    this.held = [];
    this.heldBytes = 0;
    if (!this.started) this.head = { status, headers, isStream };
  }

  /** Passes on what is whole; resolves once the caller can take more. */
  async writeBytes(bytes: Uint8Array): Promise<void> {
    if (this.head?.isStream !== true) {
      await this.hold(bytes);
      return;
    }
    const events = this.cutter.push(bytes);
    if (events.count === 0) return;
    this.writeHead();
    this.lastEventId = events.lastId ?? this.lastEventId;
    this.eventsSent += events.count;
    await this.write(events.bytes);
  }

  /** Keeps an answer that tells of a failure, for the case that no attempt does better. */
  saveFailureAnswer(body: Buffer): void {
    if (this.head === undefined || this.started) return;
    this.kept = { ...this.head, body };
  }

  override finish(): void {
    if (this.isClosed) return;
    const body = Buffer.concat(this.held);
    if (!this.started && this.head?.isStream === false) {
      this.writeWhole({ ...this.head, body });
      return;
    }
    this.writeHead();
    this.response.end(body);
  }

  override fail(error: unknown): void {
    if (this.isClosed) return;
    if (this.started) this.abort();
    else if (this.kept !== undefined) this.writeWhole(this.kept);
    else this.protocol.writeProblem(this.response, error, this.requestId);
  }

  protected override abort(): void {
    this.response.destroy();
  }

  private async hold(bytes: Uint8Array): Promise<void> {
    if (this.started) {
      await this.write(bytes);
      return;
    }
    this.held.push(bytes);
    this.heldBytes += bytes.length;
    if (this.heldBytes <= MOST_HELD_BYTES) return;
    this.writeHead();
    const held = Buffer.concat(this.held);
    this.held = [];
    await this.write(held);
  }

  private writeWhole({ status, headers, body }: KeptAnswer): void {
    const lines = headers.filter(([name]) => name.toLowerCase() !== 'content-length');
    this.response.writeHead(status, [...lines, ['content-length', String(body.length)]].flat());
    this.response.end(body);
  }

  private writeHead(): void {
    if (this.started || this.head === undefined) return;
    const { status, headers } = this.head;
    this.response.writeHead(status, headers.flat());
    this.response.flushHeaders();
  }
}
