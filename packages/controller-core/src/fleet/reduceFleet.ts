/**
 * Updates the fleet from the platform's list, load reports, failures and time, and stores the
 * platform's prices.
 *
 * The list may be stale. Rows of removed instances are ignored, and an instance is removed as
 * unlisted only after the maximum list lag, because the list may be older than its purchase.
 */
import type { EpochMilliseconds, LoadReport, PlatformInstance } from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent } from '../events.js';
import { recordReclaimNotice, recordReclaim } from '../reclaims/reclaims.js';
import { placeKey, type ControllerState } from '../state.js';
import { addInstance, removeInstance } from './fleet.js';
import { enterPhase, hasModel, poolOf, type FleetInstance } from './FleetInstance.js';

/** Weight of the newest start in the moving average of start durations. */
const NEWEST_START_WEIGHT = 0.3;
/** A reclaimed instance is removed this long after the announced time. */
const RECLAIM_REMOVAL_DELAY_MILLISECONDS = 1000;

/** Adds an instance that was not in the fleet, and completes its start if that is pending. */
function addListedInstance(state: ControllerState, row: PlatformInstance): ControllerEffect[] {
  const instance = addInstance(state, row);
  const pending =
    row.startToken === undefined ? undefined : state.pendingStarts.get(row.startToken);
  if (pending !== undefined) state.pendingStarts.delete(pending.startToken);
  if (row.dataCentre !== state.dataCentre || state.lease === undefined) return [];
  const { instance: name, pool, instanceClass } = instance;
  const fields = { instance: name, pool, instanceClass, startToken: row.startToken };
  // Without a pending start, an earlier holder bought the instance or the start was dropped; the
  // instance is paid for, so it joins its pool.
  const event = pending === undefined ? 'orphanClaimed' : 'purchaseFound';
  return [{ type: 'log', event, fields }];
}

/** Updates an instance from its row; a stale row never moves its phase backward. */
function updateFromRow(
  state: ControllerState,
  instance: FleetInstance,
  row: PlatformInstance,
): void {
  instance.lastListedAt = state.now;
  if (row.state === 'live' && instance.phase === 'starting') enterPhase(state, instance, 'live');
  const isLeaving = row.state === 'leaving' && row.goneAt === undefined;
  if (isLeaving && instance.phase !== 'leaving') enterPhase(state, instance, 'draining');
}

function receiveRow(state: ControllerState, row: PlatformInstance): ControllerEffect[] {
  if (state.removedInstances.has(row.instance)) return [];
  const known = state.fleet.get(row.instance);
  const effects = known === undefined ? addListedInstance(state, row) : [];
  const instance = known ?? state.fleet.get(row.instance);
  if (instance === undefined) return effects;
  updateFromRow(state, instance, row);
  if (row.goneAt === undefined) return effects;
  return [...effects, ...recordReclaimNotice(state, instance, row.goneAt)];
}

function removeLostInstance(
  state: ControllerState,
  instance: FleetInstance,
  reason: string,
): ControllerEffect[] {
  const { instance: name, pool, dataCentre, instanceClass, phase } = instance;
  const wasExpected = phase === 'draining' || phase === 'leaving';
  if (!wasExpected) recordReclaim(state, instance);
  removeInstance(state, name);
  const fields = { instance: name, pool, dataCentre, instanceClass, phase, reason };
  return [{ type: 'log', event: wasExpected ? 'instanceGone' : 'instanceVanished', fields }];
}

function receiveList(
  state: ControllerState,
  rows: readonly PlatformInstance[],
): ControllerEffect[] {
  const effects = rows.flatMap((row) => receiveRow(state, row));
  const unlisted = [...state.fleet.values()].filter(
    (instance) => state.now - instance.lastListedAt > state.policy.maxListLag,
  );
  return [
    ...effects,
    ...unlisted.flatMap((instance) => removeLostInstance(state, instance, 'notListed')),
  ];
}

function removeReclaimed(state: ControllerState): ControllerEffect[] {
  return [...state.fleet.values()]
    .filter(
      ({ goneAt }) =>
        goneAt !== undefined && state.wallNow > goneAt + RECLAIM_REMOVAL_DELAY_MILLISECONDS,
    )
    .flatMap((instance) => removeLostInstance(state, instance, 'reclaimed'));
}

function expireRemovedInstances(state: ControllerState): void {
  state.removedInstances.forEach((until, name) => {
    if (until <= state.now) state.removedInstances.delete(name);
  });
}

/** Adds the time from first sight to serving to the pool's moving average, once per instance. */
export function recordStartDuration(state: ControllerState, instance: FleetInstance): void {
  const pool = poolOf(state, instance.pool);
  if (pool === undefined || instance.startMeasured) return;
  if (instance.phase !== 'live' || !hasModel(pool, instance)) return;
  instance.startMeasured = true;
  const startDuration = state.now - instance.firstSeenAt;
  const previousEstimate = state.startDurations.get(pool.name) ?? state.policy.defaultStartDuration;
  state.startDurations.set(
    pool.name,
    previousEstimate + NEWEST_START_WEIGHT * (startDuration - previousEstimate),
  );
}

/** False if the pending order was sent after the measurement; the report shows an older model. */
function isNewerThanOrder(instance: FleetInstance, measuredAt: EpochMilliseconds): boolean {
  return instance.pendingOrder === undefined || measuredAt > instance.pendingOrder.sentAtWall;
}

function receiveLoadReport(state: ControllerState, report: LoadReport): void {
  const instance = state.fleet.get(report.instance);
  if (instance === undefined) return;
  if (report.measuredAt < (instance.loadReport?.measuredAt ?? 0)) return;
  instance.loadReport = report;
  instance.loadReportReceivedAt = state.now;
  if (report.model === undefined || !isNewerThanOrder(instance, report.measuredAt)) return;
  const { model, adapter, version } = report;
  instance.loaded = { model, adapter, version };
}

export function reduceFleet(state: ControllerState, event: ControllerEvent): ControllerEffect[] {
  switch (event.type) {
    case 'platformListed':
      return receiveList(state, event.instances);
    case 'loadReported':
      receiveLoadReport(state, event.report);
      return [];
    case 'instanceLost': {
      const instance = state.fleet.get(event.instance);
      return instance === undefined ? [] : removeLostInstance(state, instance, 'dead');
    }
    case 'pricesListed':
      event.prices.forEach(({ dataCentre, instanceClass, eurosPerHour }) => {
        state.prices.set(placeKey(dataCentre, instanceClass), eurosPerHour);
      });
      return [];
    case 'tick':
      expireRemovedInstances(state);
      state.fleet.forEach((instance) => recordStartDuration(state, instance));
      return removeReclaimed(state);
    default:
      return [];
  }
}
