/**
 * Runs attempts: moves the bytes of streams from backend servers to callers, and tells the
 * reducer of their edges. Whatever comes from an attempt that was cancelled is dropped here, so
 * that no caller is ever given bytes of two attempts at once.
 */
import { BackendServerFailure, type RelayResponse } from '@hornbeampond/adapters';
import type { AttemptFailure, EntryEffect, EntryEventPayload } from '@hornbeampond/entry-core';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { Milliseconds } from '@hornbeampond/schema';
import type { AdapterDirectory } from './AdapterDirectory.js';
import type { CallerExchange } from './CallerServer.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { CompletionAnswer } from './CompletionAnswer.js';
import { PlainAnswer } from './PlainAnswer.js';
import { RelayAnswer } from './RelayAnswer.js';
import { relayBody } from './relayBody.js';

export type StartAttemptEffect = Extract<EntryEffect, { type: 'startAttempt' }>;
type MoveCache = Extract<EntryEffect, { type: 'moveCache' }>;

/** Edges of a long stream are reported no more often than this. */
const PROGRESS_MILLISECONDS = 100;

/** Time for a cancellation to reach an engine. */
const CANCEL_MILLISECONDS = 2000;

/** A move of a relayed stream that takes longer has paused it for too long. */
const RELAY_MOVE_MILLISECONDS = 2000;

/** Time for a KV cache to be exported and imported. */
const MOVE_MILLISECONDS = 30_000;

interface RunningAttempt {
  readonly start: StartAttemptEffect;
  readonly controller: AbortController;
  cancelled: boolean;
  silent: boolean;
  /** True while its KV cache is being moved: its stream then ends without its end. */
  isMoving: boolean;
  /** What it failed with while its KV cache was being moved. */
  endedBy?: unknown;
  stopWatch: Unsubscribe;
}

export interface AttemptRunnerOptions {
  readonly timers: TimerService;
  readonly adapters: AdapterDirectory;
  findExchange(requestId: string): CallerExchange | undefined;
  dispatch(occurrence: EntryEventPayload): void;
}

/** Turns of the event loop in which bytes that are there reach the attempt: head, then body. */
const INPUT_TURNS = 6;

/** Calls `then` once the input that is waiting now has been read. */
function afterInput(then: () => void, turns = INPUT_TURNS): void {
  if (turns === 0) then();
  else setImmediate(() => afterInput(then, turns - 1));
}

function tokensOf(
  answer: CallerAnswer | undefined,
  { tokensPerEvent = 1 }: StartAttemptEffect['target'],
): number {
  if (answer instanceof CompletionAnswer) return answer.generatedTokens;
  return answer instanceof RelayAnswer ? answer.eventsSent * tokensPerEvent : 0;
}

function isPastRetry(answer: CallerAnswer | undefined): boolean {
  if (answer instanceof RelayAnswer) return answer.started && answer.lastEventId === undefined;
  return answer instanceof PlainAnswer && answer.started;
}

export class AttemptRunner {
  private readonly running = new Map<string, RunningAttempt>();

  /** Names of moved KV caches, by the attempt that goes on from each. */
  private readonly movedCaches = new Map<string, string>();

  constructor(private readonly options: AttemptRunnerOptions) {}

  get runningCount(): number {
    return this.running.size;
  }

  start(start: StartAttemptEffect): void {
    const attempt: RunningAttempt = {
      start,
      controller: new AbortController(),
      cancelled: false,
      silent: false,
      isMoving: false,
      stopWatch: () => {},
    };
    this.running.set(start.attemptId, attempt);
    this.run(attempt).then(
      () => this.end(attempt),
      (error: unknown) => {
        this.end(attempt);
        if (attempt.isMoving) attempt.endedBy = error;
        else if (!attempt.cancelled) this.reportFailure(attempt, error);
      },
    );
  }

  /** Gives an attempt up at once and tells its engine. */
  cancel(attemptId: string): void {
    const attempt = this.running.get(attemptId);
    if (attempt === undefined || attempt.cancelled) return;
    attempt.cancelled = true;
    attempt.stopWatch();
    attempt.controller.abort();
    const found = this.options.adapters.getOrCreate(attempt.start.target);
    // Closing the connection, as the abort does, is all that other backend servers understand.
    if (found.kind !== 'modelEngine') return;
    found.adapter.cancel(attemptId, AbortSignal.timeout(CANCEL_MILLISECONDS)).catch(() => {});
  }

  /** Moves the KV cache of an attempt from one engine to another. */
  async moveCache(move: MoveCache): Promise<void> {
    const { adapters, dispatch } = this.options;
    const { requestId, attemptId, nextAttemptId, from, to } = move;
    if (adapters.getOrCreate(from).kind === 'relay') {
      await this.moveRelayed(move);
      return;
    }
    const signal = AbortSignal.timeout(MOVE_MILLISECONDS);
    try {
      const cache = await adapters.getEngineAdapter(from).exportCache(attemptId, signal);
      await adapters
        .getEngineAdapter(to)
        .importCache({ ...cache, attemptId: nextAttemptId }, signal);
      dispatch({ type: 'cacheMoved', requestId, attemptId, moved: true });
    } catch {
      dispatch({ type: 'cacheMoved', requestId, attemptId, moved: false });
    }
  }

  /**
   * Moves the cache of an opaque call. Its stream is cut by the move, which is no failure as long
   * as the call can go on at its new place.
   */
  private async moveRelayed({ requestId, attemptId, nextAttemptId, from, to }: MoveCache) {
    const { adapters, dispatch, findExchange } = this.options;
    const attempt = this.running.get(attemptId);
    const headers = findExchange(requestId)?.forwardedHeaders;
    if (attempt === undefined || headers === undefined) {
      dispatch({ type: 'cacheMoved', requestId, attemptId, moved: false });
      return;
    }
    attempt.isMoving = true;
    try {
      const signal = AbortSignal.timeout(RELAY_MOVE_MILLISECONDS);
      const handle = await adapters.getRelayAdapter(from).moveCache({ headers, to, signal });
      // The dispatch starts the next attempt, which reads this, before it returns.
      this.movedCaches.set(nextAttemptId, handle);
      dispatch({ type: 'cacheMoved', requestId, attemptId, moved: true });
    } catch {
      // Counted by the reducer; if the stream has been cut by it, that is told as its failure.
      dispatch({ type: 'cacheMoved', requestId, attemptId, moved: false });
    }
    attempt.isMoving = false;
    this.movedCaches.delete(nextAttemptId);
    if (attempt.endedBy !== undefined && !attempt.cancelled) {
      this.reportFailure(attempt, attempt.endedBy);
    }
  }

  private end(attempt: RunningAttempt): void {
    attempt.stopWatch();
    this.running.delete(attempt.start.attemptId);
  }

  /**
   * Aborts the attempt as silent unless this is called again, or stopped, within `limit`. A busy
   * process comes to its due timers before the input that is waiting: an answer that came in time
   * would be thrown away and computed again. So the input is read first.
   */
  private watch(attempt: RunningAttempt, limit: Milliseconds): void {
    attempt.stopWatch();
    let isStopped = false;
    const cancel = this.options.timers.after(limit, () => {
      afterInput(() => {
        if (isStopped) return;
        attempt.silent = true;
        attempt.controller.abort();
      });
    });
    attempt.stopWatch = () => {
      isStopped = true;
      cancel();
    };
  }

  private async run(attempt: RunningAttempt): Promise<void> {
    const { start } = attempt;
    const exchange = this.options.findExchange(start.requestId);
    if (exchange === undefined) return;
    this.watch(attempt, start.firstByteTimeout);
    exchange.answer.onBackpressureChange = (held) => {
      const { attemptId } = start;
      if (!attempt.cancelled) this.options.dispatch({ type: 'attemptHeld', attemptId, held });
    };
    if (exchange.answer instanceof CompletionAnswer) {
      await this.runCompletion(attempt, exchange, exchange.answer);
    } else if (exchange.answer instanceof PlainAnswer) {
      await this.runPlain(attempt, exchange, exchange.answer);
    } else if (exchange.answer instanceof RelayAnswer) {
      await this.runRelay(attempt, exchange, exchange.answer);
    }
  }

  private async runCompletion(
    attempt: RunningAttempt,
    exchange: CallerExchange,
    answer: CompletionAnswer,
  ): Promise<void> {
    const { attemptId, target, priority, streamIdleTimeout: silenceTimeout } = attempt.start;
    const { dispatch, timers, adapters } = this.options;
    const { generatedText, generatedTokens } = answer;
    const stream = await adapters.getEngineAdapter(target).startCompletion({
      attemptId,
      body: exchange.completion ?? { messages: [] },
      priority,
      signal: attempt.controller.signal,
      ...(generatedTokens > 0 ? { resume: { generatedText, generatedTokens } } : {}),
    });
    let reportedAt = 0;
    for await (const chunk of stream) {
      if (attempt.cancelled) return;
      // A caller that reads slowly must not make its engine look silent.
      attempt.stopWatch();
      if (chunk.type === 'end') {
        answer.recordEnd(chunk.finishReason, chunk.usage);
        dispatch({ type: 'attemptFinished', attemptId, tokens: answer.generatedTokens });
        return;
      }
      if (reportedAt === 0) dispatch({ type: 'firstTokenReceived', attemptId });
      await answer.writeToken(chunk.text, chunk.tokens);
      const now = timers.monotonicNow();
      if (now - reportedAt > PROGRESS_MILLISECONDS) {
        reportedAt = now;
        dispatch({ type: 'attemptProgressed', attemptId, tokens: answer.generatedTokens });
      }
      if (!attempt.cancelled) this.watch(attempt, silenceTimeout);
    }
  }

  private async runPlain(
    attempt: RunningAttempt,
    exchange: CallerExchange,
    answer: PlainAnswer,
  ): Promise<void> {
    const { attemptId, target, sendOnce, streamIdleTimeout: silenceTimeout } = attempt.start;
    const { dispatch, adapters } = this.options;
    const { method, path } = exchange.request;
    const received = await adapters.getPlainServiceAdapter(target).send({
      method,
      path,
      headers: this.forwardedHeaders(exchange),
      body: exchange.body,
      requiresNewConnection: sendOnce,
      signal: attempt.controller.signal,
    });
    if (attempt.cancelled) return;
    answer.receiveHead(received.status, received.headers);
    dispatch({ type: 'firstTokenReceived', attemptId });
    for await (const bytes of received.body) {
      if (attempt.cancelled) return;
      attempt.stopWatch();
      await answer.writeBytes(bytes);
      if (!attempt.cancelled) this.watch(attempt, silenceTimeout);
    }
    const { storedAnswer } = answer;
    dispatch({
      type: 'attemptFinished',
      attemptId,
      tokens: 0,
      ...(storedAnswer === undefined ? {} : { storedAnswer }),
    });
  }

  private async runRelay(
    attempt: RunningAttempt,
    exchange: CallerExchange,
    answer: RelayAnswer,
  ): Promise<void> {
    const {
      attemptId,
      target,
      workspace,
      timeLeft,
      priority,
      streamIdleTimeout: silenceTimeout,
    } = attempt.start;
    const { dispatch, adapters, timers } = this.options;
    const { method, path } = exchange.request;
    const continueFrom = this.movedCaches.get(attemptId);
    const response = await adapters.getRelayAdapter(target).send({
      method,
      path,
      headers: exchange.forwardedHeaders ?? [],
      body: exchange.body,
      workspace,
      timeLeft,
      urgency: priority,
      ...(continueFrom === undefined ? {} : { continueFrom }),
      ...(answer.lastEventId === undefined ? {} : { resumeAfter: answer.lastEventId }),
      signal: attempt.controller.signal,
    });
    if (attempt.cancelled) return;
    this.noteLoad(target.instance, response);
    let reportedAt = 0;
    await relayBody(response, answer, {
      isCancelled: () => attempt.cancelled,
      onBytesReceived: () => {
        attempt.stopWatch();
        const now = timers.monotonicNow();
        answer.recordBytesReceived(now);
        if (reportedAt === 0) dispatch({ type: 'firstTokenReceived', attemptId });
        if (now - reportedAt <= PROGRESS_MILLISECONDS) return;
        reportedAt = now;
        dispatch({ type: 'attemptProgressed', attemptId, tokens: tokensOf(answer, target) });
      },
      onBytesWritten: () => {
        if (!attempt.cancelled) this.watch(attempt, silenceTimeout);
      },
    });
    if (attempt.cancelled) return;
    if (reportedAt === 0) dispatch({ type: 'firstTokenReceived', attemptId });
    const { longestPause } = answer;
    const tokens = tokensOf(answer, target);
    dispatch({ type: 'attemptFinished', attemptId, tokens, longestPause });
  }

  /** An answer tells of the load at the moment it was begun, which is fresher than any poll. */
  private noteLoad(instance: string, { load }: RelayResponse): void {
    if (load === undefined) return;
    const measuredAt = this.options.timers.wallNow();
    this.options.dispatch({ type: 'loadReported', report: { instance, measuredAt, ...load } });
  }

  /** The caller's headers, without its key: a backend server has no business with it. */
  private forwardedHeaders({
    headers,
    request,
  }: CallerExchange): Record<string, string | string[]> {
    const { authorization, host, ...rest } = headers;
    const kept = Object.entries(rest).filter(
      (entry): entry is [string, string | string[]] => entry[1] !== undefined,
    );
    return {
      ...Object.fromEntries(kept),
      'x-request-id': request.requestId,
      'x-workspace': request.workspace,
    };
  }

  private reportFailure(attempt: RunningAttempt, error: unknown): void {
    const { attemptId, requestId } = attempt.start;
    const answer = this.options.findExchange(requestId)?.answer;
    const failed = error instanceof BackendServerFailure ? error : undefined;
    const failure: AttemptFailure = attempt.silent ? 'silent' : (failed?.failure ?? 'malformed');
    this.options.dispatch({
      type: 'attemptFailed',
      attemptId,
      failure,
      sent: failed?.sent ?? 'maybe',
      tokens: tokensOf(answer, attempt.start.target),
      // A completion and a stream of events can be resumed; what else has begun cannot.
      answerStarted: isPastRetry(answer),
      ...(failed?.retryAfter === undefined ? {} : { retryAfter: failed.retryAfter }),
    });
  }
}
