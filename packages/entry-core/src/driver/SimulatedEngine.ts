/**
 * Simulates a model engine in virtual time. Its tokens depend only on the digest and the position,
 * so the answer of a resumed stream can be compared with the expected one.
 */
import type { CallerRequest } from '../entryEvents.js';

/** Receives the events of one stream. */
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
  /** Fraction of the next token that has been generated. */
  nextTokenProgress: number;
  /** True if the connection is open but delivers nothing in either direction. */
  stalled: boolean;
}

/** A request that has reached the engine, also one that it rejects. */
export interface EngineArrival {
  readonly at: number;
  readonly entry: string;
  readonly attemptId: string;
  /** Set if the engine rejected the request and asked the entry to send nothing for this time. */
  readonly restFor?: number;
}

export interface EngineRates {
  readonly tokensPerMillisecond: number;
  readonly prefillTokensPerMillisecond: number;
  /** Number of streams that run at full speed concurrently. */
  readonly concurrency: number;
}

const REFUSAL_PERIOD_MILLISECONDS = 1000;

/** Token position at which a request crashes its engine, by digest. */
export type CrashTokenByDigest = ReadonlyMap<string, number>;

/**
 * Returns the number of answer tokens: `maxTokens`, or half of it if the digest ends in `early`.
 */
export function answerLength({ maxTokens, digest }: CallerRequest): number {
  const lengthDivisor = digest.endsWith('early') ? 2 : 1;
  return Math.ceil(maxTokens / lengthDivisor);
}

export function tokenAt(digest: string, position: number): string {
  return `${digest}#${position} `;
}

/** Returns the complete answer that an uninterrupted stream would deliver. */
export function expectedAnswer(request: CallerRequest): string {
  return Array.from({ length: answerLength(request) }, (_, position) =>
    tokenAt(request.digest, position),
  ).join('');
}

export class SimulatedEngine {
  alive = true;

  /** Version of its software; undefined if the platform names none. */
  version: string | undefined;

  /** Rejects all new streams as busy. */
  busy = false;

  /** For how long the engine still sends nothing, although it accepts connections and requests. */
  silentFor = 0;

  /** True if the engine says in its answers that it leaves. */
  isLeaving = false;

  /** For how long the engine, while it is busy, asks the entries that it rejects to rest. */
  restFor: number | undefined;

  /** Streams that run or wait at most; the engine rejects others as busy. */
  room = Infinity;

  /** Rejections for want of room in a second above which the engine falls over, as it states. */
  survivedRejections = Infinity;

  /** Parts of prompts on which the engine crashes as soon as it begins to write an answer. */
  poisonParts: ReadonlySet<string> = new Set();

  /** When the engine has fallen over. */
  readonly fellAt: number[] = [];

  private refusedAt: number[] = [];

  /** Limit that the engine names in its answers; infinite if it names none. */
  requestsPerSecond = Infinity;

  /** How long work takes, as a multiple of the time that the rates give. */
  timeFactor = 1;

  /** Returns the time factor that the engine states in its answers; undefined if it states none. */
  stateTimeFactor: () => number | undefined = () => undefined;

  readonly arrivals: EngineArrival[] = [];

  /** True if the process restarts immediately when it dies. */
  restartsImmediately = false;

  deaths = 0;

  /** True if the death of the engine resets no connections, as when its host disappears. */
  omitsReset = false;

  /** True if probes of the dead engine time out instead of being refused. */
  unreachableWhenDead = false;

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

  /** Starts a stream whose first `cachedTokens` tokens of context are already in the KV cache. */
  open(stream: EngineStream, cachedTokens: number): void {
    const context = stream.request.promptTokens + stream.position;
    const prefill = Math.max(0, context - cachedTokens);
    this.prefilledTokens += prefill;
    stream.remainingPrefillMilliseconds = prefill / this.rates.prefillTokensPerMillisecond;
    const { requestId } = stream.request;
    this.received.set(requestId, (this.received.get(requestId) ?? 0) + 1);
    this.streams.set(stream.attemptId, stream);
  }

  /** True if the engine rejects a stream now; a brittle one falls over when it has to do so too often. */
  rejects(now: number): boolean {
    if (this.busy) return true;
    if (this.streams.size < this.room) return false;
    this.refusedAt = [
      ...this.refusedAt.filter((at) => at > now - REFUSAL_PERIOD_MILLISECONDS),
      now,
    ];
    if (this.refusedAt.length > this.survivedRejections) {
      this.fellAt.push(now);
      this.refusedAt = [];
      this.die();
    }
    return true;
  }

  die(): void {
    this.deaths += 1;
    this.alive = this.restartsImmediately;
    const lost = [...this.streams.values()];
    this.streams.clear();
    if (this.omitsReset) return;
    lost.filter(({ stalled }) => !stalled).forEach(({ listener }) => listener.lost());
  }

  advance(durationMilliseconds: number): void {
    if (this.silentFor > 0) {
      this.silentFor -= durationMilliseconds;
      return;
    }
    const slowdown = this.timeFactor * Math.max(1, this.streams.size / this.rates.concurrency);
    [...this.streams.values()].forEach((stream) => {
      if (!this.alive) return;
      if (stream.remainingPrefillMilliseconds > 0)
        stream.remainingPrefillMilliseconds -= durationMilliseconds / slowdown;
      else this.decode(stream, (durationMilliseconds * this.rates.tokensPerMillisecond) / slowdown);
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
      if (request.sharedParts?.some((part) => this.poisonParts.has(part)) === true) {
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
