/**
 * Orders and progress of roll-outs. They are part of the configuration, so that they reach the
 * entries as tables do and are never seen to go back. A pool has at most one that runs.
 */
import {
  findRollout,
  type AdvanceRolloutCommand,
  type EpochMilliseconds,
  type Milliseconds,
  type Rollout,
  type RolloutResult,
  type StartRolloutCommand,
} from '@hornbeampond/schema';
import type { MachineState } from './MachineState.js';

/** Operators resend an order that was not acknowledged for less than this. */
const RESEND_PERIOD_MILLISECONDS: Milliseconds = 10_000;

function putRollout(state: MachineState, rollout: Rollout): RolloutResult {
  const { configuration } = state;
  const others = (configuration.rollouts ?? []).filter(({ pool }) => pool !== rollout.pool);
  state.configuration = {
    ...configuration,
    revision: configuration.revision + 1,
    rollouts: [...others, rollout],
  };
  // A delta cannot carry roll-outs; without history subscribers are sent the whole configuration.
  state.history.length = 0;
  return { type: 'rolloutAccepted', rollout };
}

function isResend(
  rollout: Rollout,
  { version, duration }: StartRolloutCommand,
  at: EpochMilliseconds,
): boolean {
  // While it ran, orders were acknowledged until its end, and any of them may be resent.
  const lastAcknowledgedAt = rollout.endedAt ?? rollout.startedAt;
  const isRecent =
    rollout.phase === 'running' || at - lastAcknowledgedAt < RESEND_PERIOD_MILLISECONDS;
  return isRecent && rollout.version === version && rollout.duration === duration;
}

function findFault(
  state: MachineState,
  latest: Rollout | undefined,
  { pool, version, duration }: StartRolloutCommand,
): string | undefined {
  const isKnown = state.configuration.pools.rows.some(({ name }) => name === pool);
  if (!isKnown) return `there is no pool "${pool}"`;
  if (version === '') return 'the version is empty';
  if (!(duration > 0)) return 'the duration is not above 0';
  const isInForce = latest?.phase === 'done' && latest.version === version;
  return isInForce ? `the pool runs version "${version}" already` : undefined;
}

export function startRollout(
  state: MachineState,
  at: EpochMilliseconds,
  command: StartRolloutCommand,
): RolloutResult {
  const { pool, version, duration, share } = command;
  const latest = findRollout(state.configuration.rollouts, pool);
  if (latest !== undefined && isResend(latest, command, at)) {
    return { type: 'rolloutAccepted', rollout: latest };
  }
  const reason = findFault(state, latest, command);
  if (reason !== undefined) return { type: 'rolloutInvalid', reason };
  if (latest?.phase === 'running') return { type: 'rolloutRunning', rollout: latest };
  // Two orders may have one time; a start names one roll-out only.
  const startedAt = Math.max(at, (latest?.startedAt ?? 0) + 1);
  return putRollout(state, { pool, version, startedAt, duration, phase: 'running', share });
}

/**
 * A roll-out that has ended, or was followed by another, is not changed by a late command, and a late
 * step does not lower the share of one that runs.
 */
export function advanceRollout(
  state: MachineState,
  at: EpochMilliseconds,
  command: AdvanceRolloutCommand,
): RolloutResult {
  const { pool, startedAt, phase, share, reason, evidence } = command;
  const latest = findRollout(state.configuration.rollouts, pool);
  if (latest === undefined) return { type: 'rolloutInvalid', reason: 'there is no roll-out' };
  const isOver = latest.startedAt !== startedAt || latest.phase !== 'running';
  const isStale = phase === 'running' && share <= latest.share;
  if (isOver || isStale) return { type: 'rolloutAccepted', rollout: latest };
  const end = phase === 'running' ? {} : { endedAt: at };
  const grounds = {
    ...(reason === undefined ? {} : { reason }),
    ...(evidence === undefined ? {} : { evidence }),
  };
  return putRollout(state, { ...latest, ...grounds, phase, share, ...end });
}
