/**
 * A model engine in virtual time. What it generates depends only on the request's digest and the
 * position, so that a spliced answer can be compared with an uninterrupted one.
 */
import type { CallerRequest } from '../entryEvents.js';

/** What an engine says on one of its connections. */
export interface EngineListener {
  token(position: number, token: string): void;
  finished(): void;
  lost(): void;
}

export interface EngineStream {
  readonly attemptId: string;
  readonly request: CallerRequest;
  readonly listener: EngineListener;
  position: number;
  remainingPrefillMilliseconds: number;
  /** Part of the next token that is done already. */
  nextTokenProgress: number;
  /** True if the way back has lost track of the connection. */
  stalled: boolean;
}

export interface EngineRates {
  readonly tokensPerMillisecond: number;
  readonly prefillTokensPerMillisecond: number;
  /** Streams that run at full speed together. */
  readonly concurrency: number;
}

/** When a request crashes the engine that runs it: at this token of its answer. */
export type CrashTokenByDigest = ReadonlyMap<string, number>;

export function answerLength({ maxTokens, digest }: CallerRequest): number {
  const lengthDivisor = digest.endsWith('early') ? 2 : 1;
  return Math.ceil(maxTokens / lengthDivisor);
}

export function tokenAt(digest: string, position: number): string {
  return `${digest}#${position} `;
}

export function expectedAnswer(request: CallerRequest): string {
  return Array.from({ length: answerLength(request) }, (_, position) =>
    tokenAt(request.digest, position),
  ).join('');
}

export class SimulatedEngine {
  alive = true;

  /** Refuses all new work with "busy". */
  busy = false;

  /** True if its process is started again at once when it dies. */
  restartsImmediately = false;

  deaths = 0;

  /** True if its connections are not even reset when it dies. */
  omitsReset = false;

  /** True if a dead host does not even refuse connections. */
  unreachable = false;

  readonly streams = new Map<string, EngineStream>();

  /** How often each request was received, by request id. */
  readonly received = new Map<string, number>();

  decodedTokens = 0;

  prefilledTokens = 0;

  constructor(
    readonly instance: string,
    readonly dataCentre: string,
    private readonly rates: EngineRates,
    private readonly crashTokenByDigest: CrashTokenByDigest,
  ) {}

  /** `cachedTokens` of prompt and answer are in the KV cache already. */
  open(stream: EngineStream, cachedTokens: number): void {
    const context = stream.request.promptTokens + stream.position;
    const prefill = Math.max(0, context - cachedTokens);
    this.prefilledTokens += prefill;
    stream.remainingPrefillMilliseconds = prefill / this.rates.prefillTokensPerMillisecond;
    const { requestId } = stream.request;
    this.received.set(requestId, (this.received.get(requestId) ?? 0) + 1);
    this.streams.set(stream.attemptId, stream);
  }

  die(): void {
    this.deaths += 1;
    this.alive = this.restartsImmediately;
    const lost = [...this.streams.values()];
    this.streams.clear();
    if (this.omitsReset) return;
    lost.filter(({ stalled }) => !stalled).forEach(({ listener }) => listener.lost());
  }

  advance(duration: number): void {
    const slowdown = Math.max(1, this.streams.size / this.rates.concurrency);
    [...this.streams.values()].forEach((stream) => {
      if (!this.alive) return;
      if (stream.remainingPrefillMilliseconds > 0)
        stream.remainingPrefillMilliseconds -= duration / slowdown;
      else this.decode(stream, (duration * this.rates.tokensPerMillisecond) / slowdown);
    });
  }

  private decode(stream: EngineStream, tokens: number): void {
    const { request, listener } = stream;
    stream.nextTokenProgress += tokens;
    while (stream.nextTokenProgress >= 1 && stream.position < answerLength(request)) {
      if (stream.position >= (this.crashTokenByDigest.get(request.digest) ?? Infinity)) {
        this.die();
        return;
      }
      stream.nextTokenProgress -= 1;
      this.decodedTokens += 1;
      if (!stream.stalled)
        listener.token(stream.position, tokenAt(request.digest, stream.position));
      stream.position += 1;
    }
    if (stream.position < answerLength(request)) return;
    this.streams.delete(stream.attemptId);
    if (!stream.stalled) listener.finished();
  }
}
