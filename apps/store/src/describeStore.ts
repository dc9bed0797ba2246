/** A store's own view of the log and of what it keeps, for operators. */
import type { EpochMilliseconds, InstanceReport, StoreStatus } from '@hornbeampond/schema';
import {
  currentMembership,
  leaderHint,
  publicRole,
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

export function describeStore(view: StoreView): StoreStatus {
  const { instance, state, machine, instances, wallNow } = view;
  const { members } = currentMembership(state);
  const named = (role: 'voter' | 'learner') =>
    members.filter((member) => member.role === role).map((member) => member.address.instance);
  const leader = leaderHint(state);
  return {
    instance,
    role: publicRole(state),
    term: state.term,
    ...(leader === undefined ? {} : { leader }),
    commitIndex: state.commitIndex,
    appliedIndex: state.appliedIndex,
    voters: named('voter'),
    learners: named('learner'),
    readOnly: state.readOnly,
    configurationRevision: machine.configuration.revision,
    instances,
    leases: [...machine.leases].map(([lease, { holder, epoch }]) => ({ lease, holder, epoch })),
    claims: machine.claims.size,
    quarantine: quarantineAt(machine, wallNow),
  };
}
