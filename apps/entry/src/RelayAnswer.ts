/**
 * The answer to an opaque call, relayed with the backend server's status and headers. An answer that
 * is not an event stream is buffered up to a size limit; until the limit is exceeded, the call can be
 * retried on another server. An event stream is sent event by event, and another server can resume it
 * after the last event id. If the call fails before anything is sent, the caller receives the last
 * failure answer of a backend server, if one was saved. An answer whose status promises callers that
 * their request did not run is never passed on: the backend server may have run it.
 */
import type { ServerResponse } from 'node:http';
import type { HeaderLine, RelayResponse } from '@hornbeampond/adapters';
import { BodyBytes } from '@hornbeampond/runtime';
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import { TrackedResponse } from '@hornbeampond/transport';
import { CallerAnswer } from './CallerAnswer.js';
import type { CallProtocol } from './CallProtocol.js';
import { EventStreamSplitter } from './EventStreamSplitter.js';

/** Larger answers are sent as they arrive, to limit the memory that buffers use. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const MIN_SERVER_ERROR_STATUS = 500;

const LINE_END = '\r\n';
const LAST_CHUNK = `0${LINE_END}${LINE_END}`;
const HEXADECIMAL = 16;

/** A chunk of a body with chunked transfer encoding. */
function frameChunk(bytes: Buffer): Buffer {
  const prefix = `${bytes.length.toString(HEXADECIMAL)}${LINE_END}`;
  const frame = Buffer.allocUnsafe(prefix.length + bytes.length + LINE_END.length);
  frame.write(prefix, 0, 'latin1');
  bytes.copy(frame, prefix.length);
  frame.write(LINE_END, prefix.length + bytes.length, 'latin1');
  return frame;
}

interface CompleteAnswer {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  readonly body: Buffer;
}

export class RelayAnswer extends CallerAnswer {
  /** Id of the last event sent; until one is sent, the id that the caller asks to resume after. */
  lastEventId: string | undefined;

  /** The longest time between two chunks received, over all attempts. */
  longestPause: Milliseconds = 0;

  private lastBytesAt: MonotonicMilliseconds | undefined;

  /** Number of complete events sent to the caller. */
  eventsSent = 0;

  private head: Pick<RelayResponse, 'status' | 'headers' | 'isStream'> | undefined;

  private splitter = new EventStreamSplitter();

  /** True if this class frames the chunks of the stream instead of Node. */
  private framesChunks = false;

  private buffered = new BodyBytes();

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

  /** True if the bytes received end in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.head?.isStream === true && this.splitter.pendingBytes.length > 0;
  }

  /** Records that a chunk was received at `now`, for `longestPause`. */
  recordBytesReceived(now: MonotonicMilliseconds): void {
    this.longestPause = Math.max(this.longestPause, now - (this.lastBytesAt ?? now));
    this.lastBytesAt = now;
  }

  /**
   * Handles the head of an attempt's answer and discards what earlier attempts have buffered. A
   * started answer keeps its first head.
   */
  receiveHead({ status, headers, isStream }: RelayResponse): void {
    this.splitter = new EventStreamSplitter();
    this.buffered = new BodyBytes();
    this.setBufferedBytes(0);
    if (!this.started) this.head = { status, headers, isStream };
  }

  /**
   * Sends or buffers received bytes. Returns a promise if the caller cannot receive more until it
   * resolves.
   */
  writeBytes(bytes: Uint8Array): Promise<void> | undefined {
    if (this.head?.isStream !== true) return this.bufferOrWrite(bytes);
    const events = this.splitter.push(bytes);
    if (events.bytes.length === 0) return undefined;
    this.writeHead();
    this.lastEventId = events.lastId ?? this.lastEventId;
    this.eventsSent += events.count;
    return this.write(this.framesChunks ? frameChunk(events.bytes) : events.bytes);
  }

  /** True for an answer that is not passed on before the call has been retried, if at all. */
  isFailure(status: number): boolean {
    return status >= MIN_SERVER_ERROR_STATUS || this.protocol.promisesNotRun(status);
  }

  /** Saves a failure answer, which is sent if the call fails before anything else is sent. */
  saveFailureAnswer({ status, headers }: RelayResponse, body: Buffer): void {
    if (this.started || this.protocol.promisesNotRun(status)) return;
    this.lastFailureAnswer = { status, headers, body };
  }

  override get backendServerStatus(): number | undefined {
    return this.started ? undefined : this.lastFailureAnswer?.status;
  }

  override finish(): void {
    if (this.isClosed) return;
    const body = this.buffered.join();
    this.setBufferedBytes(0);
    if (!this.started && this.head?.isStream === false) {
      this.writeCompleteAnswer({ ...this.head, body });
      return;
    }
    this.writeHead();
    this.response.end(this.framesChunks ? LAST_CHUNK : body);
  }

  override fail(error: unknown): void {
    if (this.isClosed) return;
    if (this.started) this.abort();
    else if (this.lastFailureAnswer !== undefined) this.writeCompleteAnswer(this.lastFailureAnswer);
    else this.writeProblem(error);
  }

  protected override writeProblem(error: unknown): void {
    this.protocol.writeProblem(this.response, error, this.requestId);
  }

  protected override abort(): void {
    const { socket } = this.response;
    // A body without a length or chunks ends with its connection, so a normal end would complete it.
    if (this.isDelimitedByClose) socket?.resetAndDestroy();
    this.response.destroy();
  }

  /** True for an HTTP/1.0 caller whose answer has no length. */
  private get isDelimitedByClose(): boolean {
    if (this.framesChunks || this.response.chunkedEncoding) return false;
    const names = this.head?.headers.map(([name]) => name.toLowerCase()) ?? [];
    return !names.includes('content-length');
  }

  private bufferOrWrite(bytes: Uint8Array): Promise<void> | undefined {
    if (this.started) return this.write(bytes);
    this.buffered.add(bytes);
    this.setBufferedBytes(this.bufferedBytes + bytes.length);
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES) return undefined;
    this.writeHead();
    const bufferedBody = this.buffered.join();
    this.buffered = new BodyBytes();
    this.setBufferedBytes(0);
    return this.write(bufferedBody);
  }

  private setBufferedBytes(bytes: number): void {
    this.bufferedBytes = bytes;
    if (this.response instanceof TrackedResponse) this.response.setGatheredBytes(bytes);
  }

  private writeCompleteAnswer({ status, headers, body }: CompleteAnswer): void {
    const lines = headers.filter(([name]) => name.toLowerCase() !== 'content-length');
    this.response.writeHead(status, [...lines, ['content-length', String(body.length)]].flat());
    this.response.end(body);
  }

  private writeHead(): void {
    if (this.started || this.head === undefined) return;
    const { status, headers, isStream } = this.head;
    this.response.writeHead(status, headers.flat());
    if (!isStream || !this.response.chunkedEncoding) return;
    // Node would write each chunk in four parts.
    this.response.chunkedEncoding = false;
    this.framesChunks = true;
  }
}
