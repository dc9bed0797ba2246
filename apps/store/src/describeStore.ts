/** Describes a store for operators: its role, its view of the log and its state machine. */
import type {
  EpochMilliseconds,
  InstanceReport,
  KnownMembers,
  StoreStatus,
} from '@hornbeampond/schema';
import {
  currentMembership,
  lastIndexOf,
  lastTermOf,
  leaderHint,
  memberAddresses,
  describeRole,
  quarantineAt,
  type ConsensusState,
  type MachineState,
} from '@hornbeampond/store-core';
import type { ClusterPart } from './LeaderlessReports.js';

export interface StoreView {
  readonly instance: string;
  readonly state: ConsensusState;
  readonly machine: MachineState;
  /** The latest reports of connected instances. */
  readonly instances: readonly InstanceReport[];
  readonly wallNow: EpochMilliseconds;
}

/** Instance names of the voters and of the learners, which are still catching up. */
export function describeMembers(state: ConsensusState): Pick<StoreStatus, 'voters' | 'learners'> {
  const { members } = currentMembership(state);
  const listInstances = (role: 'voter' | 'learner') =>
    members.filter((member) => member.role === role).map((member) => member.address.instance);
  return { voters: listInstances('voter'), learners: listInstances('learner') };
}

/** What this store is by its own log. */
export function describeMemberState(state: ConsensusState): 'voter' | 'learner' | 'none' {
  const { members } = currentMembership(state);
  return members.find(({ identity }) => identity === state.self.identity)?.role ?? 'none';
}

export interface ConnectionView {
  readonly connected: readonly string[];
  /** Why the last write to the disk failed. */
  readonly diskFailure: string | undefined;
  /** True after an event that was not handled completely. */
  readonly hasFailed: boolean;
}

/** The store's part in its cluster, with the inputs of the log line about it. */
export function describeClusterPart(state: ConsensusState, view: ConnectionView): ClusterPart {
  const { term, readOnly, diskRefused, self } = state;
  const { voters } = describeMembers(state);
  const member = describeMemberState(state);
  const leader = leaderHint(state);
  const { connected, diskFailure, hasFailed } = view;
  return {
    isInOrder: leader !== undefined && !readOnly && !diskRefused && !hasFailed,
    isReadOnly: readOnly,
    isVoter: member === 'voter',
    voterCount: voters.length,
    leader,
    fields: {
      role: describeRole(state),
      member,
      readOnly,
      ...(diskFailure === undefined ? {} : { diskFailure }),
      diskRefused,
      hasFailed,
      term,
      voters,
      connected,
      identity: self.identity,
    },
  };
}

/** Describes the members for a store that asks to join. */
export function describeKnownMembers(state: ConsensusState): KnownMembers {
  return {
    leader: leaderHint(state),
    stores: memberAddresses(state),
    lastTerm: lastTermOf(state),
    lastIndex: lastIndexOf(state),
  };
}

export function describeStore(view: StoreView): StoreStatus {
  const { instance, state, machine, instances, wallNow } = view;
  const leader = leaderHint(state);
  return {
    instance,
    role: describeRole(state),
    term: state.term,
    ...(leader === undefined ? {} : { leader }),
    commitIndex: state.commitIndex,
    appliedIndex: state.appliedIndex,
    ...describeMembers(state),
    readOnly: state.readOnly,
    configurationRevision: machine.configuration.revision,
    instances,
    leases: [...machine.leases].map(([lease, { holder, epoch }]) => ({ lease, holder, epoch })),
    claims: machine.claims.size,
    quarantine: quarantineAt(machine, wallNow),
  };
}
