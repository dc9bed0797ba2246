/**
 * Moves the KV caches of running attempts to other backend servers and dispatches the results. The move of an
 * opaque call stops its run, which is recorded before the order is sent.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { BackendServerFailure, type ConnectionUse, type HeaderLine } from '@hornbeampond/adapters';
import type { EntryEffect, EntryEventPayload } from '@hornbeampond/entry-core';
import type { Logger, Metrics, TimerService } from '@hornbeampond/runtime';
import type { StopOrderOutcome } from '@hornbeampond/schema';
import type { AdapterDirectory } from './AdapterDirectory.js';
import type { CallerExchange } from './CallerServer.js';
import type { StopOrders } from './StopOrders.js';

type MoveCacheEffect = Extract<EntryEffect, { type: 'moveCache' }>;

/** Shorter than for engines, because an opaque call's stream is paused during the move. */
const RELAY_CACHE_MOVE_TIMEOUT_MILLISECONDS = 2000;

/** Limit for the export and the import of a KV cache together. */
const CACHE_MOVE_TIMEOUT_MILLISECONDS = 30_000;

export interface CacheMoverOptions {
  readonly timers: TimerService;
  readonly adapters: AdapterDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly stopOrders: StopOrders;
  findExchange(requestId: string): CallerExchange | undefined;
  dispatch(payload: EntryEventPayload): void;
}

interface OrderResult {
  readonly outcome: StopOrderOutcome;
  /** Set if the cache has been moved. */
  readonly cacheHandle?: string;
}

/** What is logged of the answer to an order. */
interface OrderAnswer extends OrderResult {
  readonly error?: unknown;
}

/** Only a proof counts: a call that was sent may still be carried out. */
function judgeFailedOrder(error: unknown): StopOrderOutcome {
  const isProvenUndone = error instanceof BackendServerFailure && error.sent === 'nothing';
  return isProvenUndone ? 'notCarriedOut' : 'unknown';
}

export class CacheMover {
  /** Handles of moved KV caches, by the id of the attempt that continues with the cache. */
  private readonly movedCacheHandles = new Map<string, string>();

  constructor(private readonly options: CacheMoverOptions) {}

  /** The moved cache from which an attempt that is being started continues. */
  findMovedCache(attemptId: string): string | undefined {
    return this.movedCacheHandles.get(attemptId);
  }

  /** Moves the KV cache of an attempt to another backend server and dispatches the result. */
  async move(move: MoveCacheEffect): Promise<void> {
    const { adapters, dispatch } = this.options;
    const { requestId, attemptId, nextAttemptId, moveNumber, from, to } = move;
    if (adapters.getOrCreate(from).kind === 'relay') {
      await this.moveRelayCache(move);
      return;
    }
    const signal = AbortSignal.timeout(CACHE_MOVE_TIMEOUT_MILLISECONDS);
    try {
      const cache = await adapters.getEngineAdapter(from).exportCache(attemptId, signal);
      await adapters
        .getEngineAdapter(to)
        .importCache({ ...cache, attemptId: nextAttemptId }, signal);
      dispatch({ type: 'cacheMoved', requestId, attemptId, moveNumber, moved: true });
    } catch {
      dispatch({ type: 'cacheMoved', requestId, attemptId, moveNumber, moved: false });
    }
  }

  /** Moves the KV cache of an opaque call, which stops its run. */
  private async moveRelayCache(move: MoveCacheEffect): Promise<void> {
    const { dispatch, findExchange, stopOrders } = this.options;
    const { requestId, attemptId, nextAttemptId, moveNumber, from } = move;
    const result = { type: 'cacheMoved', requestId, attemptId, moveNumber } as const;
    const call = findExchange(requestId);
    if (call?.forwardedHeaders === undefined) {
      dispatch({ ...result, moved: false });
      return;
    }
    const order = stopOrders.add(call, from.instance);
    const { outcome, cacheHandle } = await this.sendOrder(move, call.forwardedHeaders);
    if (outcome === 'notCarriedOut') {
      // The end of its run that waits for this answer is reported before the move is given up.
      order.end(outcome);
      await nextTurn();
    }
    if (cacheHandle !== undefined) this.movedCacheHandles.set(nextAttemptId, cacheHandle);
    // The dispatch starts the next attempt synchronously, and that attempt reads the handle.
    dispatch({ ...result, moved: cacheHandle !== undefined, runStopped: outcome === 'carriedOut' });
    this.movedCacheHandles.delete(nextAttemptId);
    // Ended last: by now the attempt whose run has stopped is cancelled if another one goes on.
    order.end(outcome);
  }

  private async sendOrder(
    move: MoveCacheEffect,
    headers: readonly HeaderLine[],
  ): Promise<OrderResult> {
    const { adapters } = this.options;
    const reportAnswer = this.reportOrder(move);
    const { from, to } = move;
    const signal = AbortSignal.timeout(RELAY_CACHE_MOVE_TIMEOUT_MILLISECONDS);
    let connection: ConnectionUse | undefined;
    const onConnection = (use: ConnectionUse) => {
      connection = use;
    };
    const order = { headers, to, signal, onConnection };
    try {
      const cacheHandle = await adapters.getRelayAdapter(from).moveCache(order);
      reportAnswer({ outcome: 'carriedOut', cacheHandle }, connection);
      return { outcome: 'carriedOut', cacheHandle };
    } catch (error) {
      const outcome = judgeFailedOrder(error);
      reportAnswer({ outcome, error }, connection);
      return { outcome };
    }
  }

  /** Logs an order to stop a run; the result logs and counts what is known of it in the end. */
  private reportOrder({ requestId, attemptId, from, to }: MoveCacheEffect) {
    const { logger, metrics, timers } = this.options;
    const orderedAt = timers.monotonicNow();
    const fields = { requestId, attemptId, backendServer: from.instance, to: to.instance };
    logger.write('cacheMoveOrdered', fields);
    return (answer: OrderAnswer, connection: ConnectionUse | undefined) => {
      const { outcome, cacheHandle, error } = answer;
      const after = timers.monotonicNow() - orderedAt;
      const { status } = error instanceof BackendServerFailure ? error : {};
      const reason = error === undefined ? {} : { reason: String(error) };
      const evidence = { cacheHandle, ...connection, status, ...reason };
      logger.write('cacheMoveAnswered', { ...fields, outcome, after, ...evidence });
      metrics.count({ metric: 'stopOrders', label: outcome });
    };
  }
}
