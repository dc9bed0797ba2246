/**
 * Runs attempts: sends calls to backend servers, relays the answers to callers and dispatches events
 * to the reducer (first token, progress, end, failure). It also cancels attempts. Output of a cancelled
 * attempt is discarded, and the answer of an attempt beside which another may run is held back until it
 * has won, so a caller never receives interleaved bytes of two attempts.
 */
import { BackendServerFailure } from '@hornbeampond/adapters';
import type { AttemptFailure, EntryEffect, EntryEventPayload } from '@hornbeampond/entry-core';
import type { TimerService, Unsubscribe } from '@hornbeampond/runtime';
import type { AdapterDirectory } from './AdapterDirectory.js';
import type { CallerExchange } from './CallerServer.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { CompletionAnswer } from './CompletionAnswer.js';
import { findIncompleteness, type EndedAnswer } from './findIncompleteness.js';
import { HeldAnswer, type AnswerSink } from './HeldAnswer.js';
import { PlainAnswer, type PlainAnswerHead } from './PlainAnswer.js';
import { RelayAnswer } from './RelayAnswer.js';
import { RestartableTimeout } from './RestartableTimeout.js';
import { relayBody } from './relayBody.js';
import { mayHaveStopped, waitForAnswers, type StopOrder, type StopOrders } from './StopOrders.js';

export type StartAttemptEffect = Extract<EntryEffect, { type: 'startAttempt' }>;

/** Shortest time between two progress events of an attempt. */
const MIN_PROGRESS_INTERVAL_MILLISECONDS = 100;

const MIN_SERVER_ERROR_STATUS = 500;

const CANCEL_TIMEOUT_MILLISECONDS = 2000;

interface RunningAttempt {
  readonly effect: StartAttemptEffect;
  readonly abortController: AbortController;
  isCancelled: boolean;
  hasTimedOut: boolean;
  readonly timeout: RestartableTimeout;
  /** Passes on the answer if it is held back. */
  passOnAnswer: () => Promise<void> | undefined;
  cancelHedgeTimer: Unsubscribe;
}

export interface AttemptRunnerOptions {
  readonly timers: TimerService;
  readonly adapters: AdapterDirectory;
  readonly stopOrders: StopOrders;
  /** True if the platform may have ended the instance by now, as it has announced. */
  mayHaveEnded(instance: string): boolean;
  /** The moved cache from which an attempt that is being started continues. */
  findMovedCache(attemptId: string): string | undefined;
  findExchange(requestId: string): CallerExchange | undefined;
  dispatch(payload: EntryEventPayload): void;
  /** Called when an attempt is to be sent whose caller has left; may cancel the attempt. */
  onCallerLeft(requestId: string): void;
}

/** Event loop turns until bytes that are ready to be read, head then body, reach the attempt. */
const PENDING_INPUT_LOOP_TURNS = 6;

/** Calls `callback` after the input that is already pending has been read. */
function runAfterPendingInput(
  callback: () => void,
  remainingTurns = PENDING_INPUT_LOOP_TURNS,
): void {
  if (remainingTurns === 0) callback();
  else setImmediate(() => runAfterPendingInput(callback, remainingTurns - 1));
}

function countAnswerTokens(
  answer: CallerAnswer | undefined,
  { tokensPerEvent = 1 }: StartAttemptEffect['target'],
): number {
  if (answer instanceof CompletionAnswer) return answer.generatedTokens;
  return answer instanceof RelayAnswer ? answer.eventsSent * tokensPerEvent : 0;
}

/** True if the caller has received bytes of an answer that cannot be resumed. */
function hasUnresumableStart(answer: CallerAnswer | undefined): boolean {
  if (answer instanceof RelayAnswer) return answer.started && answer.lastEventId === undefined;
  return answer instanceof PlainAnswer && answer.started;
}

export class AttemptRunner {
  private readonly attempts = new Map<string, RunningAttempt>();

  constructor(private readonly options: AttemptRunnerOptions) {}

  get runningCount(): number {
    return this.attempts.size;
  }

  start(effect: StartAttemptEffect): void {
    const attempt: RunningAttempt = {
      effect,
      abortController: new AbortController(),
      isCancelled: false,
      hasTimedOut: false,
      timeout: new RestartableTimeout(this.options.timers, () => this.endSilentAttempt(attempt)),
      passOnAnswer: () => undefined,
      cancelHedgeTimer: () => {},
    };
    this.attempts.set(effect.attemptId, attempt);
    this.startHedgeTimer(attempt);
    this.run(attempt).then(
      () => this.removeAttempt(attempt),
      async (error: unknown) => this.endFailedAttempt(attempt, error),
    );
  }

  private async endFailedAttempt(attempt: RunningAttempt, error: unknown): Promise<void> {
    const call = this.options.findExchange(attempt.effect.requestId);
    attempt.timeout.close();
    attempt.cancelHedgeTimer();
    // A call that was not sent has no run that an order could move.
    const hasRun = !(error instanceof BackendServerFailure && error.sent === 'nothing');
    const stopOrders = call !== undefined && hasRun ? this.listStopOrders(attempt, call) : [];
    const answered = waitForAnswers(stopOrders);
    if (answered !== undefined) await answered;
    this.removeAttempt(attempt);
    if (!attempt.isCancelled) this.reportFailure(attempt, error);
  }

  /**
   * The orders that may have stopped the attempt's run, which ends before its order is answered. The answer
   * decides whether the call goes on from the moved cache.
   */
  private listStopOrders({ effect }: RunningAttempt, call: CallerExchange): readonly StopOrder[] {
    return this.options.stopOrders.list(call, effect.target.instance);
  }

  /** Cancels an attempt immediately. */
  cancel(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined || attempt.isCancelled) return;
    attempt.isCancelled = true;
    attempt.timeout.close();
    attempt.cancelHedgeTimer();
    attempt.abortController.abort();
    const backendServerAdapter = this.options.adapters.getOrCreate(attempt.effect.target);
    // Other backend servers have no cancel request; the abort closes their connection.
    if (backendServerAdapter.kind !== 'modelEngine') return;
    backendServerAdapter.adapter
      .cancel(attemptId, AbortSignal.timeout(CANCEL_TIMEOUT_MILLISECONDS))
      .catch(() => {});
  }

  /** Passes on the answer of an attempt that has won, if it was held back. */
  passOnAnswer(attemptId: string): void {
    this.attempts
      .get(attemptId)
      ?.passOnAnswer()
      // The answer is ended next, and nothing more is written that would have to wait.
      ?.catch(() => {});
  }

  /** Like time-outs, an answer that has arrived is read before the hedge is considered. */
  private startHedgeTimer(attempt: RunningAttempt): void {
    const { attemptId, hedgeAfter } = attempt.effect;
    if (hedgeAfter === undefined) return;
    attempt.cancelHedgeTimer = this.options.timers.after(hedgeAfter, () =>
      runAfterPendingInput(() => {
        if (attempt.isCancelled || this.attempts.get(attemptId) !== attempt) return;
        this.options.dispatch({ type: 'hedgeDue', attemptId });
      }),
    );
  }

  /** Where an attempt writes its answer: to the caller, or apart from those of other attempts. */
  private makeSink<Head extends { readonly isStream?: boolean }>(
    attempt: RunningAttempt,
    answer: CallerAnswer & AnswerSink<Head>,
  ): AnswerSink<Head> {
    const { attemptId, isHeld } = attempt.effect;
    if (isHeld !== true) return answer;
    const held = new HeldAnswer<Head>(answer, () => {
      this.options.dispatch({ type: 'answerClaimed', attemptId });
      if (!attempt.isCancelled) this.reportBackpressure(attempt, answer);
      return !attempt.isCancelled;
    });
    attempt.passOnAnswer = () => held.passOn();
    return held;
  }

  /** True if another attempt of the same request runs, whose answer may be the better one. */
  private hasRival(attempt: RunningAttempt): boolean {
    const { requestId } = attempt.effect;
    return [...this.attempts.values()].some(
      (other) => other !== attempt && !other.isCancelled && other.effect.requestId === requestId,
    );
  }

  private reportBackpressure(attempt: RunningAttempt, answer: CallerAnswer): void {
    const { attemptId } = attempt.effect;
    answer.onBackpressureChange = (held) => {
      if (!attempt.isCancelled) this.options.dispatch({ type: 'attemptHeld', attemptId, held });
    };
  }

  private removeAttempt(attempt: RunningAttempt): void {
    attempt.timeout.close();
    attempt.cancelHedgeTimer();
    const { attemptId } = attempt.effect;
    // A call that uses the id of an ended one again may have started an attempt of the same name.
    if (this.attempts.get(attemptId) === attempt) this.attempts.delete(attemptId);
  }

  /**
   * Aborts an attempt that has timed out. A busy process runs due timers before it reads pending
   * input, and would discard an answer that arrived in time; so the pending input is read first.
   */
  private endSilentAttempt(attempt: RunningAttempt): void {
    const { timeout } = attempt;
    const { changeCount } = timeout;
    runAfterPendingInput(() => {
      if (timeout.changeCount !== changeCount) return;
      attempt.hasTimedOut = true;
      attempt.abortController.abort();
    });
  }

  private async run(attempt: RunningAttempt): Promise<void> {
    const { effect } = attempt;
    const exchange = this.options.findExchange(effect.requestId);
    if (exchange === undefined) return;
    if (exchange.answer.hasCallerLeft) {
      this.options.onCallerLeft(effect.requestId);
      // The event loop handles this after the effects of the event that started the attempt.
      await Promise.resolve();
      if (attempt.isCancelled) return;
    }
    attempt.timeout.start(effect.firstByteTimeout);
    if (effect.isHeld !== true) this.reportBackpressure(attempt, exchange.answer);
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
    const { attemptId, target, priority, streamIdleTimeout } = attempt.effect;
    const { dispatch, timers, adapters } = this.options;
    const { generatedText, generatedTokens } = answer;
    const stream = await adapters.getEngineAdapter(target).startCompletion({
      attemptId,
      body: exchange.completion ?? { messages: [] },
      priority,
      signal: attempt.abortController.signal,
      ...(generatedTokens > 0 ? { resume: { generatedText, generatedTokens } } : {}),
    });
    let reportedAt = 0;
    for await (const chunk of stream) {
      if (attempt.isCancelled) return;
      // Time spent waiting for a slow caller does not count against the engine.
      attempt.timeout.stop();
      if (chunk.type === 'end') {
        answer.recordEnd(chunk.finishReason, chunk.usage);
        dispatch({ type: 'attemptFinished', attemptId, tokens: answer.generatedTokens });
        return;
      }
      if (reportedAt === 0) dispatch({ type: 'firstTokenReceived', attemptId });
      await answer.writeText(chunk.text, chunk.tokens);
      const now = timers.monotonicNow();
      if (now - reportedAt > MIN_PROGRESS_INTERVAL_MILLISECONDS) {
        reportedAt = now;
        dispatch({ type: 'attemptProgressed', attemptId, tokens: answer.generatedTokens });
      }
      if (!attempt.isCancelled) attempt.timeout.start(streamIdleTimeout);
    }
  }

  private async runPlain(
    attempt: RunningAttempt,
    exchange: CallerExchange,
    answer: PlainAnswer,
  ): Promise<void> {
    const { attemptId, target, sendOnce, streamIdleTimeout } = attempt.effect;
    const { dispatch, adapters } = this.options;
    const { method, path } = exchange.request;
    const response = await adapters.getPlainServiceAdapter(target).send({
      method,
      path,
      headers: this.buildForwardedHeaders(exchange),
      body: exchange.body,
      requiresNewConnection: sendOnce,
      signal: attempt.abortController.signal,
    });
    if (attempt.isCancelled) return;
    if (response.status >= MIN_SERVER_ERROR_STATUS && this.hasRival(attempt)) {
      attempt.abortController.abort();
      throw new BackendServerFailure(`the answer has status ${response.status}`, {
        failure: 'serverError',
        status: response.status,
      });
    }
    const sink = this.makeSink<PlainAnswerHead>(attempt, answer);
    sink.receiveHead(response);
    dispatch({ type: 'firstTokenReceived', attemptId });
    let receivedBytes = 0;
    for await (const bytes of response.body) {
      if (attempt.isCancelled) return;
      attempt.timeout.stop();
      receivedBytes += bytes.length;
      answer.checkSize(receivedBytes);
      await sink.writeBytes(bytes);
      if (!attempt.isCancelled) attempt.timeout.start(streamIdleTimeout);
    }
    if (attempt.isCancelled) return;
    const { storedAnswer } = answer;
    dispatch({
      type: 'attemptFinished',
      attemptId,
      tokens: 0,
      status: response.status,
      ...(storedAnswer === undefined ? {} : { storedAnswer }),
    });
  }

  private async runRelay(
    attempt: RunningAttempt,
    exchange: CallerExchange,
    answer: RelayAnswer,
  ): Promise<void> {
    const { attemptId, target, workspace, timeLeft, priority, streamIdleTimeout } = attempt.effect;
    const { dispatch, adapters, timers } = this.options;
    const { method, path } = exchange.request;
    const continueFrom = this.options.findMovedCache(attemptId);
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
      signal: attempt.abortController.signal,
    });
    if (attempt.isCancelled) return;
    const { isStream } = response;
    const reportFirstBytes = () =>
      dispatch({
        type: 'firstTokenReceived',
        attemptId,
        ...(isStream ? { isEventStream: true } : {}),
      });
    let reportedAt = 0;
    const end = await relayBody(response, answer, this.makeSink(attempt, answer), {
      isCancelled: () => attempt.isCancelled,
      onBytesReceived: () => {
        attempt.timeout.stop();
        const now = timers.monotonicNow();
        answer.recordBytesReceived(now);
        if (reportedAt === 0) reportFirstBytes();
        if (now - reportedAt <= MIN_PROGRESS_INTERVAL_MILLISECONDS) return;
        reportedAt = now;
        dispatch({
          type: 'attemptProgressed',
          attemptId,
          tokens: countAnswerTokens(answer, target),
        });
      },
      onBytesWritten: () => {
        if (!attempt.isCancelled) attempt.timeout.start(streamIdleTimeout);
      },
      requireWhole: async (bodyEnd, hasPartialEvent) =>
        this.requireWhole(attempt, exchange, { bodyEnd, hasPartialEvent }),
    });
    if (attempt.isCancelled) return;
    if (reportedAt === 0) reportFirstBytes();
    const { longestPause } = answer;
    const tokens = countAnswerTokens(answer, target);
    const { status } = response;
    const endShownBy = end.shownBy;
    dispatch({ type: 'attemptFinished', attemptId, tokens, longestPause, status, endShownBy });
  }

  /** Throws if the answer is not whole. Its end may have to wait for the answer to an order. */
  private async requireWhole(
    attempt: RunningAttempt,
    call: CallerExchange,
    { bodyEnd, hasPartialEvent }: Pick<EndedAnswer, 'bodyEnd' | 'hasPartialEvent'>,
  ): Promise<void> {
    attempt.timeout.stop();
    const mayServerHaveEnded = this.options.mayHaveEnded(attempt.effect.target.instance);
    const stopOrders = this.listStopOrders(attempt, call);
    if (bodyEnd.shownBy === 'close') await waitForAnswers(stopOrders);
    if (attempt.isCancelled) return;
    const incomplete = findIncompleteness({
      bodyEnd,
      hasPartialEvent,
      mayHaveBeenStopped: mayHaveStopped(stopOrders),
      mayServerHaveEnded,
    });
    if (incomplete === undefined) return;
    throw new BackendServerFailure(`the answer is not whole (${incomplete})`, { incomplete });
  }

  /**
   * Returns the caller's headers without `host` and the caller's key, which backend servers must
   * not see, and adds the request id and the workspace.
   */
  private buildForwardedHeaders({
    headers,
    request,
  }: CallerExchange): Record<string, string | string[]> {
    const { authorization, host, ...rest } = headers;
    const definedHeaders = Object.entries(rest).filter(
      (entry): entry is [string, string | string[]] => entry[1] !== undefined,
    );
    return {
      ...Object.fromEntries(definedHeaders),
      'x-request-id': request.requestId,
      'x-workspace': request.workspace,
    };
  }

  private reportFailure(attempt: RunningAttempt, error: unknown): void {
    const { attemptId, requestId } = attempt.effect;
    const answer = this.options.findExchange(requestId)?.answer;
    const serverFailure = error instanceof BackendServerFailure ? error : undefined;
    const failure: AttemptFailure = attempt.hasTimedOut
      ? 'silent'
      : (serverFailure?.failure ?? 'malformed');
    this.options.dispatch({
      type: 'attemptFailed',
      attemptId,
      failure,
      sent: serverFailure?.sent ?? 'maybe',
      ...(serverFailure?.proof === undefined ? {} : { proof: serverFailure.proof }),
      ...(serverFailure?.response === undefined ? {} : { response: serverFailure.response }),
      ...(serverFailure?.incomplete === undefined ? {} : { incomplete: serverFailure.incomplete }),
      tokens: countAnswerTokens(answer, attempt.effect.target),
      answerStarted: hasUnresumableStart(answer),
      ...(serverFailure?.retryAfter === undefined ? {} : { retryAfter: serverFailure.retryAfter }),
    });
  }
}
