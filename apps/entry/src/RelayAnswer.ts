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
const MAX_BUFFERED_BYTES = 256 * 1024;

interface CompleteAnswer {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly body: Buffer;
}

export class RelayAnswer extends CallerAnswer {
  /** The last event that the caller has. */
  lastEventId: string | undefined;

  /** The longest time between two pieces of the answer, over all attempts. */
  longestPause: Milliseconds = 0;

  private lastBytesAt: MonotonicMilliseconds | undefined;

  /** Whole events that have gone to the caller. */
  eventsSent = 0;

  private head: Pick<RelayResponse, 'status' | 'headers' | 'isStream'> | undefined;

  private splitter = new EventStreamSplitter();

  private bufferedChunks: Uint8Array[] = [];

  private bufferedBytes = 0;

  private lastFailureAnswer: CompleteAnswer | undefined;

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
    return this.head?.isStream === true && this.splitter.pendingBytes.length > 0;
  }

  /** Takes note that a piece of the answer has come. */
  recordBytesReceived(now: MonotonicMilliseconds): void {
    this.longestPause = Math.max(this.longestPause, now - (this.lastBytesAt ?? now));
    this.lastBytesAt = now;
  }

  /** Takes in the head of a backend server's answer; a stream that goes on keeps its first head. */
  receiveHead({ status, headers, isStream }: RelayResponse): void {
    this.splitter = new EventStreamSplitter();
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    if (!this.started) this.head = { status, headers, isStream };
  }

  /** Passes on what is whole; resolves once the caller can take more. */
  async writeBytes(bytes: Uint8Array): Promise<void> {
    if (this.head?.isStream !== true) {
      await this.bufferOrWrite(bytes);
      return;
    }
    const events = this.splitter.push(bytes);
    if (events.count === 0) return;
    this.writeHead();
    this.lastEventId = events.lastId ?? this.lastEventId;
    this.eventsSent += events.count;
    await this.write(events.bytes);
  }

  /** Keeps an answer that tells of a failure, for the case that no attempt does better. */
  saveFailureAnswer(body: Buffer): void {
    if (this.head === undefined || this.started) return;
    this.lastFailureAnswer = { ...this.head, body };
  }

  override finish(): void {
    if (this.isClosed) return;
    const body = Buffer.concat(this.bufferedChunks);
    if (!this.started && this.head?.isStream === false) {
      this.writeCompleteAnswer({ ...this.head, body });
      return;
    }
    this.writeHead();
    this.response.end(body);
  }

  override fail(error: unknown): void {
    if (this.isClosed) return;
    if (this.started) this.abort();
    else if (this.lastFailureAnswer !== undefined) this.writeCompleteAnswer(this.lastFailureAnswer);
    else this.protocol.writeProblem(this.response, error, this.requestId);
  }

  protected override abort(): void {
    this.response.destroy();
  }

  private async bufferOrWrite(bytes: Uint8Array): Promise<void> {
    if (this.started) {
      await this.write(bytes);
      return;
    }
    this.bufferedChunks.push(bytes);
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES) return;
    this.writeHead();
    const buffered = Buffer.concat(this.bufferedChunks);
    this.bufferedChunks = [];
    await this.write(buffered);
  }

  private writeCompleteAnswer({ status, headers, body }: CompleteAnswer): void {
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
