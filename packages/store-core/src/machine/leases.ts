/**
 * Leases with epochs. Every grant of a free lease starts a new epoch, even if the last holder takes it
 * again. Renewing an unexpired lease keeps its epoch.
 */
import type {
  EpochMilliseconds,
  LeaseResult,
  ReleaseLeaseCommand,
  TakeLeaseCommand,
} from '@hornbeampond/schema';
import { clampDuration } from './claims.js';
import { MAX_LEASE_DURATION_MILLISECONDS } from './constants.js';
import type { Lease, MachineState } from './MachineState.js';

function renewLease(lease: Lease, at: EpochMilliseconds, command: TakeLeaseCommand): Lease {
  const requested = clampDuration(command.duration, MAX_LEASE_DURATION_MILLISECONDS);
  // The holder measures each grant separately; an earlier, longer one may still be running.
  const duration = Math.max(requested, lease.duration);
  return { ...lease, duration, until: Math.max(lease.until, at + requested) };
}

function grantLease(
  lease: Lease | undefined,
  at: EpochMilliseconds,
  command: TakeLeaseCommand,
): Lease {
  const duration = clampDuration(command.duration, MAX_LEASE_DURATION_MILLISECONDS);
  return {
    holder: command.holder,
    epoch: (lease?.epoch ?? 0) + 1,
    until: at + duration,
    duration,
    previousDuration: Math.max(lease?.duration ?? 0, lease?.previousDuration ?? 0),
  };
}

/** Grants a free lease, renews the caller's own, or reports who holds it. */
export function takeLease(
  state: MachineState,
  at: EpochMilliseconds,
  command: TakeLeaseCommand,
): LeaseResult {
  const lease = state.leases.get(command.lease);
  const isHeld = lease !== undefined && at < lease.until;
  if (isHeld && lease.holder !== command.holder) {
    return { type: 'leaseRefused', holder: lease.holder, remaining: lease.until - at };
  }
  const next = isHeld ? renewLease(lease, at, command) : grantLease(lease, at, command);
  state.leases.set(command.lease, next);
  const { epoch, previousDuration } = next;
  const duration = clampDuration(command.duration, MAX_LEASE_DURATION_MILLISECONDS);
  return { type: 'leaseHeld', epoch, duration, previousDuration };
}

/** Ends a lease early if the given holder still holds it under the given epoch. */
export function releaseLease(
  state: MachineState,
  at: EpochMilliseconds,
  command: ReleaseLeaseCommand,
): LeaseResult {
  const lease = state.leases.get(command.lease);
  if (lease?.holder === command.holder && lease.epoch === command.epoch && at < lease.until) {
    state.leases.set(command.lease, { ...lease, until: at });
  }
  return { type: 'leaseReleased' };
}
