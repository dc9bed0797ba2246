/**
 * Runs one entry against fake servers of a plain service in virtual time. The test decides how each
 * attempt ends; calls are opaque and idempotent unless the route says otherwise.
 */
import type { ErrorKind, Milliseconds, MonotonicMilliseconds, Rollout } from '@hornbeampond/schema';
import { VirtualTimeline } from '@hornbeampond/testing';
import type { EntryEffect } from '../../entryEffects.js';
import type { AttemptFailure, EntryEventPayload } from '../../entryEvents.js';
import { makeEntryState, type EntryState } from '../../EntryState.js';
import { reduceEntry } from '../../reduceEntry.js';
import { examplePool, exampleRequest, exampleRoute } from '../../testing/index.js';

/** How an attempt ends, `after` its start. Without a failure, its complete answer arrives. */
export interface AttemptEnd {
  readonly after: Milliseconds;
  readonly failure?: AttemptFailure;
  /** `nothing` for a failure which proves that the attempt has not run. */
  readonly sent?: 'nothing' | 'maybe';
}

export interface SentAttempt {
  readonly attemptId: string;
  readonly instance: string;
  /** Counted from 1. */
  readonly number: number;
  readonly startedAt: MonotonicMilliseconds;
}

export interface SentCall {
  readonly arrivedAt: MonotonicMilliseconds;
  readonly attempts: SentAttempt[];
  finishedAt?: MonotonicMilliseconds;
  /** The attempt whose answer the caller received. */
  answeredBy?: string;
  problem?: ErrorKind;
  /** Number of final answers that the caller received. */
  endings: number;
}

export interface PlainCallsOptions {
  readonly route?: Record<string, unknown>;
  readonly servers?: number;
  /** Requests that one server can run at a time. */
  readonly concurrency?: number;
  /** A roll-out of the pool, to the version of the servers with odd numbers. */
  readonly rollout?: Rollout;
  /** True to never report that a hedge is due, for comparison. */
  readonly ignoresHedges?: boolean;
  /** For a whole answer, which is also in time until then. */
  readonly deadlineMilliseconds?: Milliseconds;
  serve(attempt: SentAttempt): AttemptEnd;
}

const TICK_MILLISECONDS = 50;
const WALL_OFFSET_MILLISECONDS = Date.UTC(2026, 0, 15, 11);

export const TARGET_MILLISECONDS = 203;
const DEADLINE_MILLISECONDS = 1576;

export class PlainCalls {
  readonly timeline = new VirtualTimeline();

  readonly state: EntryState;

  readonly calls = new Map<string, SentCall>();

  readonly cancelled: string[] = [];

  /** Fields of the log events of hedges. */
  readonly hedgeLog: unknown[] = [];

  /** Attempts that were started while another one of the same call ran at the same server. */
  readonly doubled: string[] = [];

  /** Attempts that still ran when the caller received the final answer. */
  readonly leftRunning: string[] = [];

  /** Sums of `count` effects, with `metric/label` as the key. */
  private readonly counts = new Map<string, number>();

  private readonly running = new Set<string>();

  constructor(private readonly options: PlainCallsOptions) {
    this.state = makeEntryState({
      instance: 'entry-1',
      dataCentre: 'dc-a',
      incarnation: 1,
      maxQueuedRequests: 100,
      usageWindow: 1_000_000,
    });
    this.configure();
    this.timeline.every(TICK_MILLISECONDS, () => this.send({ type: 'tick' }));
  }

  send(event: EntryEventPayload): void {
    const { now } = this.timeline;
    const effects = reduceEntry(this.state, {
      ...event,
      now,
      wallNow: WALL_OFFSET_MILLISECONDS + now,
    });
    effects.forEach((effect) => this.performEffect(effect));
  }

  /** @param path - That of the hedged route, or `/once` for a call that must not be repeated. */
  submit(requestId: string, path = '/v1/chat'): SentCall {
    const call: SentCall = { arrivedAt: this.timeline.now, attempts: [], endings: 0 };
    this.calls.set(requestId, call);
    this.send({
      type: 'requestArrived',
      request: exampleRequest(requestId, { path, promptTokens: 0, maxTokens: 0 }),
    });
    return call;
  }

  /** Submits calls at equal intervals and runs until they have ended. */
  submitMany(count: number, interval: Milliseconds, name = 'call'): SentCall[] {
    const calls: SentCall[] = [];
    for (let number = 0; number < count; number += 1) {
      calls.push(this.submit(`${name}-${number}`));
      this.advance(interval);
    }
    this.advance(DEADLINE_MILLISECONDS);
    return calls;
  }

  advance(duration: Milliseconds): void {
    this.timeline.runUntil(this.timeline.now + duration);
  }

  count(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  private configure(): void {
    const { route, servers = 4, concurrency = 6, rollout } = this.options;
    const { deadlineMilliseconds: wholeAnswerMilliseconds = DEADLINE_MILLISECONDS } = this.options;
    const deadline = {
      firstTokenMilliseconds: this.options.deadlineMilliseconds ?? TARGET_MILLISECONDS,
      wholeAnswerMilliseconds,
      lateFirstTokenMilliseconds: wholeAnswerMilliseconds,
    };
    const row = exampleRoute({
      mostAttempts: 2,
      deadline,
      ...route,
    });
    const once = exampleRoute({
      name: 'once',
      match: { pathPrefix: '/once' },
      idempotent: false,
      claimed: false,
      deadline,
    });
    const pool = { ...examplePool(concurrency), kind: 'plainService' as const };
    const configuration = {
      revision: 1,
      routes: { revision: 1, rows: [row, once] },
      pools: { revision: 1, rows: [pool] },
      ...(rollout === undefined ? {} : { rollouts: [rollout] }),
    };
    this.send({ type: 'configurationReceived', configuration });
    const instances = Array.from({ length: servers }, (_, number) => ({
      instance: `server-${number}`,
      dataCentre: 'dc-a',
      instanceClass: 'large',
      pool: 'engines',
      state: 'live' as const,
      host: '192.0.2.1',
      port: number + 1,
      ...(rollout === undefined ? {} : { version: number % 2 === 1 ? rollout.version : 'v1' }),
    }));
    this.send({ type: 'instancesListed', instances });
  }

  private performEffect(effect: EntryEffect): void {
    switch (effect.type) {
      case 'startAttempt':
        this.startAttempt(effect);
        break;
      case 'log':
        if (effect.event === 'attemptHedged') this.hedgeLog.push(effect.fields);
        break;
      case 'cancelAttempt':
        this.running.delete(effect.attemptId);
        this.cancelled.push(effect.attemptId);
        break;
      case 'finishAnswer': {
        const { requestId, attemptId } = effect;
        this.updateCall(requestId, { finishedAt: this.timeline.now, answeredBy: attemptId });
        break;
      }
      case 'answerProblem':
        this.updateCall(effect.requestId, { problem: effect.kind });
        break;
      case 'count': {
        const key = `${effect.metric}/${effect.label ?? ''}`;
        this.counts.set(key, (this.counts.get(key) ?? 0) + (effect.amount ?? 1));
        break;
      }
      default:
    }
  }

  private updateCall(requestId: string, fields: Partial<SentCall>): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    call.endings += 1;
    const running = call.attempts.filter(({ attemptId }) => this.running.has(attemptId));
    this.leftRunning.push(...running.map(({ attemptId }) => attemptId));
    Object.assign(call, fields);
  }

  private startAttempt({
    requestId,
    attemptId,
    target,
    hedgeAfter,
  }: Extract<EntryEffect, { type: 'startAttempt' }>): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    const attempt: SentAttempt = {
      attemptId,
      instance: target.instance,
      number: Number(attemptId.slice(requestId.length + 1)),
      startedAt: this.timeline.now,
    };
    const isDoubled = call.attempts.some(
      (other) => other.instance === attempt.instance && this.running.has(other.attemptId),
    );
    if (isDoubled) this.doubled.push(attemptId);
    call.attempts.push(attempt);
    this.running.add(attemptId);
    if (hedgeAfter !== undefined && this.options.ignoresHedges !== true) {
      this.timeline.after(hedgeAfter, () => this.send({ type: 'hedgeDue', attemptId }));
    }
    const end = this.options.serve(attempt);
    this.timeline.after(end.after, () => this.endAttempt(attemptId, end));
  }

  private endAttempt(attemptId: string, { failure, sent = 'maybe' }: AttemptEnd): void {
    if (!this.running.delete(attemptId)) return;
    if (failure === undefined) {
      this.send({ type: 'firstTokenReceived', attemptId });
      this.send({ type: 'attemptFinished', attemptId, tokens: 0 });
      return;
    }
    const fields = { sent, tokens: 0, answerStarted: false } as const;
    this.send({ type: 'attemptFailed', attemptId, failure, ...fields });
  }
}

/** The fraction of the calls that got their answer within the target. */
export function shareInTime(calls: readonly SentCall[]): number {
  const inTime = calls.filter(
    ({ arrivedAt, finishedAt = Infinity }) => finishedAt - arrivedAt <= TARGET_MILLISECONDS,
  );
  return inTime.length / calls.length;
}
