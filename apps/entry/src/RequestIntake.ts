/**
 * Passes requests on to the reducer, at once while the process keeps up with its input.
 *
 * Node accepts one connection in each turn of its event loop. When many callers connect at once, such
 * as after a restart, and each turn also handles a request, the last of them wait for seconds before
 * the process knows of them. So while connections come in, requests are held for a short time and the
 * loop turns without them.
 *
 * A process that is behind may also have both a request and the end of its connection waiting to be
 * read. The request would be read first and sent to a backend server, although its caller has left. So
 * requests are held until the input that is already there has been read, and then passed on for a
 * short time at once, between which input is read again. Callers that have left by then are dropped.
 */
import type { Milliseconds, MonotonicMilliseconds } from '@hornbeampond/schema';
import type { CallerExchange } from './CallerServer.js';
import type { InputClock } from './InputClock.js';

/** With a smaller delay the process counts as keeping up. */
const MAX_DELAY_WHILE_KEEPING_UP_MILLISECONDS: Milliseconds = 100;

/** How long requests are passed on before input is read again. */
const SLICE_MILLISECONDS: Milliseconds = 50;

/**
 * How long requests are held at most while connections come in. Much longer than a slice: without
 * requests the turns get shorter one after the other, and each accepts a connection.
 */
const MAX_ACCEPTING_MILLISECONDS: Milliseconds = 200;

interface HeldRequest {
  readonly exchange: CallerExchange;
  readonly arrivedAt: MonotonicMilliseconds;
}

export interface RequestIntakeOptions {
  readonly clock: Pick<InputClock, 'estimateDelay'>;
  readNow(): MonotonicMilliseconds;
  /** Calls back once the input that is there now has been read. */
  afterPendingInput(callback: () => void): void;
  /** Called with each request, and when its caller may have sent it. */
  onRequest(exchange: CallerExchange, arrivedAt: MonotonicMilliseconds): void;
  /** Called instead for a request whose caller has left meanwhile. */
  onCallerLeft(requestId: string): void;
}

/** Input that is there now is read before the second of two `setImmediate` callbacks. */
export function afterPendingInput(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}

export class RequestIntake {
  /** In order of arrival, by request id. */
  private readonly held = new Map<string, HeldRequest>();

  private isScheduled = false;

  /** True if a connection was accepted since the last turn. */
  private hasAccepted = false;

  /** Since when requests are held for connections that come in. */
  private acceptingSince: MonotonicMilliseconds | undefined;

  constructor(private readonly options: RequestIntakeOptions) {}

  /** Called with each connection that is accepted. */
  recordConnection(): void {
    this.hasAccepted = true;
    this.acceptingSince ??= this.options.readNow();
    this.schedule();
  }

  add(exchange: CallerExchange): void {
    const { clock, readNow, onRequest } = this.options;
    const delay = clock.estimateDelay();
    const arrivedAt = readNow() - delay;
    const isKeepingUp = delay < MAX_DELAY_WHILE_KEEPING_UP_MILLISECONDS;
    if (isKeepingUp && this.held.size === 0 && this.acceptingSince === undefined) {
      onRequest(exchange, arrivedAt);
      return;
    }
    this.held.set(exchange.request.requestId, { exchange, arrivedAt });
    this.schedule();
  }

  /** Drops a request whose caller has left; returns whether it was still held. */
  remove(requestId: string): boolean {
    return this.held.delete(requestId);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.afterPendingInput(() => {
      this.isScheduled = false;
      if (this.isAccepting()) this.schedule();
      else this.passOn();
    });
  }

  /** True if more connections may wait and requests have not been held for long. */
  private isAccepting(): boolean {
    const { hasAccepted, acceptingSince } = this;
    this.hasAccepted = false;
    const isAccepting =
      hasAccepted &&
      acceptingSince !== undefined &&
      this.options.readNow() - acceptingSince < MAX_ACCEPTING_MILLISECONDS;
    if (!isAccepting) this.acceptingSince = undefined;
    return isAccepting;
  }

  private passOn(): void {
    const { readNow, onRequest, onCallerLeft } = this.options;
    const sliceEndsAt = readNow() + SLICE_MILLISECONDS;
    for (const [requestId, { exchange, arrivedAt }] of this.held) {
      this.held.delete(requestId);
      if (exchange.answer.hasCallerLeft) onCallerLeft(requestId);
      else onRequest(exchange, arrivedAt);
      if (readNow() >= sliceEndsAt) break;
    }
    if (this.held.size > 0) this.schedule();
  }
}
