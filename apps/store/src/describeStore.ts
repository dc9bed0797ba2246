/** A store's own view of the log and of what it keeps, for operators. */
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
  /** What its subscribers last said of themselves. */
  readonly instances: readonly InstanceReport[];
  readonly wallNow: EpochMilliseconds;
}

/** Who votes, and who is still catching up, by instance. */
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
