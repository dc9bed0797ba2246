/** Describes a store for operators: its role, its view of the log and its state machine. */
import type { EpochMilliseconds, InstanceReport, StoreStatus } from '@hornbeampond/schema';
import {
  currentMembership,
  leaderHint,
  describeRole,
  quarantineAt,
  type ConsensusState,
  type MachineState,
} from '@hornbeampond/store-core';

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
