/**
 * One connection of a caller: what it makes the process hold, how many of its requests wait for their
 * answers, and since when it has not gone on. Its input is parsed only while few of its requests wait,
 * and its head is limited by the bytes that came, whatever the parser makes of them.
 */
import type { Socket } from 'node:net';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import {
  HornbeampondError,
  type CallerBounds,
  type CallerCloseReason,
  type Milliseconds,
  type MonotonicMilliseconds,
} from '@hornbeampond/schema';
import { formatRefusal } from './formatRefusal.js';
import { HeadMeter } from './HeadMeter.js';
import { CONNECTION_HEAP_BYTES, estimateHeadHeap, REQUEST_HEAP_BYTES } from './heldCosts.js';
import type { HeldKind, HeldMemory, MemoryHolder } from './HeldMemory.js';
import { InputGate } from './InputGate.js';
import {
  observeResponses,
  type ResponseObserver,
  type TrackedResponse,
} from './TrackedResponse.js';

/** A caller that sends more requests ahead has the others read once answers have gone. */
const MAX_WAITING_REQUESTS = 16;

/** Added to the limit for heads: request line, line ends and the rest of a piece are counted with it. */
const HEAD_MARGIN_BYTES = 1024;

/** A refused caller has this long to read the refusal and to close its connection. */
const LINGER_MILLISECONDS: Milliseconds = 1000;

/** A caller that takes nothing of its answer for so long has stopped reading. */
const UNREAD_ANSWER_MILLISECONDS: Milliseconds = 60_000;

/** What takes more is not worth the memory for its refusal while there is none. */
const MAX_REFUSED_HEAP_BYTES = 64 * 1024;

/** When a refused caller may come back. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1000;

/**
 * Input that is discarded before a connection is no longer read. It is read up to then so that callers
 * which leave are noticed.
 */
const MAX_DISCARDED_BYTES = 1024 * 1024;

export interface HttpConnectionOptions {
  readonly socket: Socket;
  readonly timers: TimerService;
  readonly memory: HeldMemory;
  readBounds(): CallerBounds;
  /** Called once for each connection whose input is refused. */
  onRefused(error: HornbeampondError): void;
  /** Called if the connection is closed without an answer. */
  onClosing(reason: CallerCloseReason): void;
}

function makeNoRoomError(): HornbeampondError {
  const details = { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
  return new HornbeampondError('overloaded', 'There is no room for the request', details);
}

/** False while the body is read: an error is then one of the request itself. */
function isOpenAnswer({ req, headersSent }: TrackedResponse): boolean {
  return req.complete || headersSent;
}

export class HttpConnection implements MemoryHolder, ResponseObserver {
  readonly held: Record<HeldKind, number> = { heap: CONNECTION_HEAP_BYTES, buffers: 0 };

  /** When input came last, or the connection was accepted. */
  lastInputAt: MonotonicMilliseconds;

  /** Responses that are not closed, in the order of their requests. */
  private readonly responses = new Set<TrackedResponse>();

  private readonly gate: InputGate;

  private readonly meter = new HeadMeter();

  /** The part of `held` that the unfinished head takes. */
  private headHeap = 0;

  /** The part of `held` that waiting input and unread answers take. */
  private waitingBytes = 0;

  private sentBytes = 0;

  private lastSentAt: MonotonicMilliseconds;

  private latest: TrackedResponse | undefined;

  private isRefused = false;

  private stopLingering: Unsubscribe = () => {};

  constructor(private readonly options: HttpConnectionOptions) {
    const { socket, memory, timers } = options;
    this.lastInputAt = timers.monotonicNow();
    this.lastSentAt = this.lastInputAt;
    this.meter.startedAt = this.lastInputAt;
    memory.add(this);
    observeResponses(socket, this);
    this.gate = new InputGate({
      socket,
      canParse: () => this.canParse,
      accept: (piece) => this.acceptInput(piece),
      onParsed: (piece) => this.countInput(piece),
    });
    socket.once('close', () => this.handleClose());
  }

  /** True if no request is in progress. */
  get isIdle(): boolean {
    return this.responses.size === 0;
  }

  /** True while the body of the latest request is not complete. */
  get isReadingBody(): boolean {
    return this.latest !== undefined && !this.latest.req.complete;
  }

  private get canParse(): boolean {
    return this.responses.size < MAX_WAITING_REQUESTS || this.isReadingBody;
  }

  /** Counts bytes of a body; false if there is no room for them. */
  holdBody(bytes: number): boolean {
    return this.options.memory.change(this, 'buffers', bytes);
  }

  releaseBody(bytes: number): void {
    this.options.memory.change(this, 'buffers', -bytes);
  }

  evict(): void {
    this.close('memoryShort');
  }

  close(reason: CallerCloseReason): void {
    const { socket, onClosing } = this.options;
    if (socket.destroyed) return;
    onClosing(reason);
    this.gate.end();
    socket.destroy();
  }

  onResponse(response: TrackedResponse): void {
    const { memory } = this.options;
    const lines = response.req.rawHeaders.length / 2;
    response.heldHeap = REQUEST_HEAP_BYTES + estimateHeadHeap(this.meter.bytes, lines);
    this.meter.reset();
    this.latest = response;
    this.responses.add(response);
    memory.change(this, 'heap', -this.headHeap);
    this.headHeap = 0;
    response.once('close', () => this.handleResponseClose(response));
    if (!memory.change(this, 'heap', response.heldHeap)) this.refuseResponse(response);
  }

  onWritten(): void {
    let bytes = this.gate.waitingBytes;
    this.responses.forEach((response) => {
      bytes += response.unsentBytes;
    });
    this.countWaiting(bytes);
  }

  /** Refuses input that cannot be read as a request, that takes too much or that takes too long. */
  refuse(error: HornbeampondError): void {
    const { socket, onRefused } = this.options;
    if (this.isRefused) return;
    this.isRefused = true;
    onRefused(error);
    this.gate.end();
    if (!socket.writable) return;
    this.discardInput();
    // Its caller would read the refusal as the answer that is open.
    const lastAnswer = [...this.responses].filter(isOpenAnswer).at(-1);
    if (lastAnswer === undefined) {
      socket.end(formatRefusal(error));
      this.linger();
    } else if (socket.readableEnded) {
      // The caller has left within a head.
      socket.end();
    } else {
      if (!lastAnswer.headersSent) lastAnswer.setHeader('connection', 'close');
      lastAnswer.once('finish', () => socket.destroySoon());
    }
  }

  /** Ends what has not gone on for too long. */
  checkProgress(now: MonotonicMilliseconds): void {
    const { socket, readBounds } = this.options;
    const { headerMilliseconds, idleMilliseconds } = readBounds();
    this.onWritten();
    const sentBytes = socket.bytesWritten - socket.writableLength;
    if (sentBytes !== this.sentBytes || socket.writableLength === 0) this.lastSentAt = now;
    this.sentBytes = sentBytes;
    if (now - this.lastSentAt > UNREAD_ANSWER_MILLISECONDS) this.close('answerUnread');
    if (this.isRefused || socket.destroyed) return;
    if (this.isReadingBody) {
      if (now - this.lastInputAt <= idleMilliseconds) return;
      this.refuse(
        new HornbeampondError('bodyTimeout', 'The rest of the body has not come in time'),
      );
    } else if (this.canParse && now - (this.meter.startedAt ?? now) > headerMilliseconds) {
      // Nobody waits for an answer to empty lines.
      if (this.meter.isBlank) this.close('headTimeout');
      else this.refuse(new HornbeampondError('badRequest', 'The head has not come in time'));
    }
  }

  /**
   * Refuses a request for which there is no room. It takes its memory until its refusal is sent, so that
   * nothing after it is parsed, and one that takes much is closed without an answer.
   */
  private refuseResponse(response: TrackedResponse): void {
    response.refusal = makeNoRoomError();
    this.options.memory.count(this, 'heap', response.heldHeap);
    this.gate.end();
    if (response.heldHeap > MAX_REFUSED_HEAP_BYTES) this.evict();
  }

  /** Counts input that belongs to no request yet; refuses it if it is too much for a head. */
  private acceptInput(piece: Buffer): boolean {
    const now = this.options.timers.monotonicNow();
    this.lastInputAt = now;
    if (this.isReadingBody) return true;
    this.meter.add(piece, now);
    const { headerBytes } = this.options.readBounds();
    if (this.meter.bytes <= headerBytes + HEAD_MARGIN_BYTES + piece.length) return true;
    const detail = `The request head is larger than ${headerBytes} bytes`;
    this.refuse(new HornbeampondError('headersTooLarge', detail));
    return false;
  }

  /** Counts what a piece has left behind: a part of a head, or input that waits after it. */
  private countInput(piece: Buffer): void {
    if (this.gate.waitingBytes > 0 || this.waitingBytes > 0) this.onWritten();
    if (this.meter.bytes === 0 && this.headHeap === 0) return;
    const { memory } = this.options;
    if (this.meter.bytes > 0) this.meter.addLines(piece);
    const { heap } = this.meter;
    const hasRoom = heap === this.headHeap || memory.change(this, 'heap', heap - this.headHeap);
    if (hasRoom) this.headHeap = heap;
    else if (heap > MAX_REFUSED_HEAP_BYTES) this.evict();
    else this.refuse(makeNoRoomError());
  }

  private countWaiting(bytes: number): void {
    if (bytes === this.waitingBytes) return;
    const hasRoom = this.options.memory.change(this, 'buffers', bytes - this.waitingBytes);
    if (hasRoom) this.waitingBytes = bytes;
    else if (bytes > this.waitingBytes) this.evict();
  }

  private handleResponseClose(response: TrackedResponse): void {
    if (!this.responses.delete(response)) return;
    this.options.memory.change(this, 'heap', -response.heldHeap);
    if (this.latest === response && response.req.complete) this.latest = undefined;
    this.meter.restart(this.options.timers.monotonicNow());
    this.gate.continue();
  }

  private handleClose(): void {
    this.stopLingering();
    this.gate.end();
    this.options.memory.remove(this);
    [...this.responses].forEach((response) => response.closeUnsent());
  }

  private linger(): void {
    const { socket, timers } = this.options;
    this.stopLingering = timers.after(LINGER_MILLISECONDS, () => socket.destroy());
  }

  /** Takes the input away from Node's parser, which would report an error for each piece of it. */
  private discardInput(): void {
    const { socket } = this.options;
    let discardedBytes = 0;
    socket.removeAllListeners('data');
    socket.on('data', ({ length }: Buffer) => {
      discardedBytes += length;
      if (discardedBytes > MAX_DISCARDED_BYTES) socket.pause();
    });
    // Node closes a connection that its caller has closed, but not after an error of its parser.
    socket.on('end', () => socket.end());
    // The gate may have paused it.
    socket.resume();
  }
}
