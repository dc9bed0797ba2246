/**
 * A model of everything that can happen to a cluster within a budget of events, for
 * `exploreStates`. A state is a cluster with the remaining budget; `check` returns the
 * `violation` of that cluster.
 */
import type { Model, Step } from '@hornbeampond/testing';
import {
  makeClusterKey,
  crash,
  deliver,
  fireTimer,
  loseDisk,
  propose,
  read,
  restart,
  syncDisk,
  type ModelCluster,
  type ModelStore,
} from './modelCluster.js';

/**
 * How often each event may still occur; `timeouts` counts per instance. Deliveries, syncs and
 * restarts are unlimited. Message loss needs no step, as a message may stay undelivered.
 */
export interface Budget {
  readonly timeouts: Readonly<Record<string, number>>;
  readonly proposals: number;
  readonly reads: number;
  readonly crashes: number;
  readonly lostDisks: number;
  readonly duplicates: number;
}

export interface BoundedCluster {
  readonly cluster: ModelCluster;
  readonly budget: Budget;
}

export const NO_BUDGET: Budget = {
  timeouts: {},
  proposals: 0,
  reads: 0,
  crashes: 0,
  lostDisks: 0,
  duplicates: 0,
};

type BudgetItem = Exclude<keyof Budget, 'timeouts'>;

function spend(budget: Budget, item: BudgetItem): Budget {
  return { ...budget, [item]: budget[item] - 1 };
}

function listMessageSteps({ cluster, budget }: BoundedCluster): Step<BoundedCluster>[] {
  // Delivering either of two equal messages leads to the same state.
  const distinctMessages = new Map(cluster.network.map((message) => [message.key, message]));
  return [...distinctMessages.values()]
    .filter((message) => cluster.voters[message.instance]?.state !== undefined)
    .flatMap((message) => {
      const label = `deliver ${message.instance} ${message.envelope.message.type}`;
      const deliverOnce = { label, take: () => ({ cluster: deliver(cluster, message), budget }) };
      if (budget.duplicates === 0) return [deliverOnce];
      const remainingBudget = spend(budget, 'duplicates');
      const deliverAndKeepCopy = {
        label: `${label} and keep a copy`,
        take: () => ({ cluster: deliver(cluster, message, true), budget: remainingBudget }),
      };
      return [deliverOnce, deliverAndKeepCopy];
    });
}

function listStepsOfRunningStore(
  { cluster, budget }: BoundedCluster,
  { instance, pendingWrites, state }: ModelStore,
): Step<BoundedCluster>[] {
  const steps: Step<BoundedCluster>[] = [];
  const addStep = (label: string, remainingBudget: Budget, take: () => ModelCluster) => {
    steps.push({
      label: `${label} ${instance}`,
      take: () => ({ cluster: take(), budget: remainingBudget }),
    });
  };
  if (pendingWrites.length > 0) addStep('sync', budget, () => syncDisk(cluster, instance, 1));
  const timeouts = budget.timeouts[instance] ?? 0;
  if (timeouts > 0 && state?.role.type !== 'leader') {
    const remainingBudget = {
      ...budget,
      timeouts: { ...budget.timeouts, [instance]: timeouts - 1 },
    };
    addStep('time out', remainingBudget, () => fireTimer(cluster, instance));
  }
  if (budget.crashes > 0) {
    addStep('crash', spend(budget, 'crashes'), () => crash(cluster, instance));
  }
  if (state?.role.type === 'leader' && budget.proposals > 0) {
    addStep('propose at', spend(budget, 'proposals'), () => propose(cluster, instance));
  }
  if (state?.role.type === 'leader' && budget.reads > 0) {
    addStep('read at', spend(budget, 'reads'), () => read(cluster, instance));
  }
  return steps;
}

function listStepsOfStoppedStore(
  { cluster, budget }: BoundedCluster,
  { instance }: ModelStore,
): Step<BoundedCluster>[] {
  const restartStep = {
    label: `restart ${instance}`,
    take: () => ({ cluster: restart(cluster, instance), budget }),
  };
  if (budget.lostDisks === 0) return [restartStep];
  const loseDiskStep = {
    label: `lose the disk of ${instance}`,
    take: () => ({ cluster: loseDisk(cluster, instance), budget: spend(budget, 'lostDisks') }),
  };
  return [restartStep, loseDiskStep];
}

export function makeClusterModel(
  cluster: ModelCluster,
  budget: Partial<Budget>,
): Model<BoundedCluster> {
  return {
    initial: { cluster, budget: { ...NO_BUDGET, ...budget } },
    key: (bounded) => `${JSON.stringify(bounded.budget)}\n${makeClusterKey(bounded.cluster)}`,
    check: (bounded) => bounded.cluster.violation,
    steps: (bounded) => [
      ...listMessageSteps(bounded),
      ...Object.values(bounded.cluster.voters).flatMap((store) =>
        store.state === undefined
          ? listStepsOfStoppedStore(bounded, store)
          : listStepsOfRunningStore(bounded, store),
      ),
    ],
  };
}
