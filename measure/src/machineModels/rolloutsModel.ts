/**
 * Roll-outs of one pool: orders that are resent and race, processes that all take the duty, the
 * log between them, entries that apply what is pushed, and operators who read.
 *
 * The processes decide from views and evidence that may be old. Every command they ever proposed may be
 * run by the log at any time and any number of times, or never, and every configuration may be pushed
 * at any time. So a holder that is killed, a takeover, a partition and a repeat need no steps of their
 * own. A loss of power restarts the log from its snapshot and takes the evidence of all processes.
 */
import {
  decideRollout,
  type RolloutObservation,
  type RolloutStep,
} from '@hornbeampond/controller-core';
import { applyConfiguration, type ConfigurationState } from '@hornbeampond/entry-core';
import {
  emptyConfiguration,
  findRollout,
  type AdvanceRolloutCommand,
  type Configuration,
  type Rollout,
  type RolloutResult,
  type StartRolloutCommand,
} from '@hornbeampond/schema';
import {
  applyCommand,
  MachineState,
  restoreSnapshot,
  takeSnapshot,
} from '@hornbeampond/store-core';
import type { Model, Step } from '@hornbeampond/testing';

export const POOL = 'drafting';

/** The real functions, or a mutation of one of them. */
export interface RolloutsParts {
  readonly apply: typeof applyCommand;
  readonly decide: typeof decideRollout;
  readonly takeSnapshot: typeof takeSnapshot;
  readonly applyConfiguration: typeof applyConfiguration;
  /** What an operator reads; the first is the log’s, the others are those of followers. */
  readonly read: (configurations: readonly Configuration[]) => Configuration | undefined;
}

export const realRolloutsParts: RolloutsParts = {
  apply: applyCommand,
  decide: decideRollout,
  takeSnapshot,
  applyConfiguration,
  read: ([inForce]) => inForce,
};

export interface RolloutsBounds {
  /** Orders that the log may run at any time and any number of times. */
  readonly orders: readonly StartRolloutCommand[];
  /** Versions whose answers are worse than the old version’s. */
  readonly badVersions: readonly string[];
  /** Clock of the log at each step of the time. */
  readonly times: readonly number[];
  /** How often all power is lost. */
  readonly powerLosses: number;
  readonly entries: number;
  /** Processes that take the duty. */
  readonly processes: number;
}

interface Process {
  readonly view: Configuration;
  /** Starts of the roll-outs whose answers it has seen enough of. */
  readonly seen: readonly number[];
}

export interface RolloutsState {
  machine: MachineState;
  time: number;
  powerLosses: number;
  /** Every configuration that the log has had, by revision. */
  accepted: readonly Configuration[];
  processes: readonly Process[];
  entries: readonly Configuration[];
  readonly proposed: Map<string, AdvanceRolloutCommand>;
  /** The first answer to each order, and its roll-out. */
  readonly acknowledged: Map<number, { readonly at: number; readonly startedAt: number }>;
  lastRead: number;
  wrong: string | undefined;
}

/** Operators resend for less than this. */
const RESEND_PERIOD = 10_000;

const SOME_ANSWERS = 200;
const PREVIOUS = { answers: SOME_ANSWERS, bad: 0 };

function copy(state: RolloutsState): RolloutsState {
  return {
    ...state,
    proposed: new Map(state.proposed),
    acknowledged: new Map(state.acknowledged),
  };
}

function step(state: RolloutsState, label: string, take: (next: RolloutsState) => void) {
  const made: Step<RolloutsState> = {
    label,
    take: () => {
      const next = copy(state);
      take(next);
      return next;
    },
  };
  return made;
}

function findPoolRollout({ rollouts }: Configuration): Rollout | undefined {
  return findRollout(rollouts, POOL);
}

/** What is wrong with a change of the roll-out in force. */
function judgeChange(before: Rollout | undefined, after: Rollout | undefined): string | undefined {
  if (before === undefined) return undefined;
  if (after === undefined) return 'a roll-out was lost';
  if (after.startedAt !== before.startedAt) {
    return before.phase === 'running' ? 'a roll-out was replaced while it ran' : undefined;
  }
  if (after.version !== before.version) return 'a roll-out changed its version';
  if (before.phase !== 'running') {
    const isSame = after.phase === before.phase && after.share === before.share;
    return isSame ? undefined : 'a roll-out that had ended was changed';
  }
  return after.phase !== 'rolledBack' && after.share < before.share
    ? 'the share of a roll-out that runs fell'
    : undefined;
}

function runCommand(
  state: RolloutsState,
  parts: RolloutsParts,
  command: StartRolloutCommand | AdvanceRolloutCommand,
): RolloutResult {
  const before = state.machine.configuration;
  state.machine = restoreSnapshot(takeSnapshot(state.machine));
  const result = parts.apply(state.machine, { at: state.time, command }) as RolloutResult;
  const after = state.machine.configuration;
  state.wrong ??= judgeChange(findPoolRollout(before), findPoolRollout(after));
  if (after === before) return result;
  if (after.revision !== before.revision + 1) state.wrong ??= 'a change has no revision of its own';
  state.accepted = [...state.accepted, after];
  return result;
}

function runOrder(
  state: RolloutsState,
  parts: RolloutsParts,
  position: number,
  order: StartRolloutCommand,
): void {
  const result = runCommand(state, parts, order);
  if (result.type !== 'rolloutAccepted') return;
  const { startedAt, version } = result.rollout;
  if (version !== order.version) state.wrong ??= 'an order was answered for another version';
  // The log remembers the latest roll-out of a pool only.
  [...state.acknowledged.keys()]
    .filter((other) => other !== position)
    .forEach((other) => state.acknowledged.delete(other));
  const first = state.acknowledged.get(position);
  const isResend = first !== undefined && state.time - first.at < RESEND_PERIOD;
  if (isResend && first.startedAt !== startedAt) {
    state.wrong ??= 'an order that was resent started another roll-out';
  }
  if (!isResend) state.acknowledged.set(position, { at: state.time, startedAt });
}

function runStep(state: RolloutsState, parts: RolloutsParts, command: AdvanceRolloutCommand): void {
  const before = findPoolRollout(state.machine.configuration);
  runCommand(state, parts, command);
  const after = findPoolRollout(state.machine.configuration);
  const isMeant = before?.phase === 'running' && before.startedAt === command.startedAt;
  if (command.phase === 'rolledBack' && isMeant && after?.phase !== 'rolledBack') {
    state.wrong ??= 'a verdict was lost';
  }
  if (after?.phase === 'done' && before?.phase === 'running' && before.share < 1) {
    state.wrong ??= 'a roll-out ended before all requests had moved';
  }
}

/** Makes the model; `parts` replaces a real function by a mutation of it. */
export function makeRolloutsModel(
  bounds: RolloutsBounds,
  parts: RolloutsParts = realRolloutsParts,
): Model<RolloutsState> {
  function observe(state: RolloutsState, { seen }: Process, rollout: Rollout): RolloutObservation {
    const isBad = bounds.badVersions.includes(rollout.version);
    const next = { answers: SOME_ANSWERS, bad: isBad ? SOME_ANSWERS : 0 };
    const answers = new Map([['chat', { previous: PREVIOUS, next }]]);
    return {
      elapsed: state.time - rollout.startedAt,
      byRoute: seen.includes(rollout.startedAt) ? answers : new Map(),
      nextInstances: 1,
      silences: 0,
      shareHeldFor: rollout.duration,
      isPreviousIdle: state.entries.every((entry) => findPoolRollout(entry)?.share === 1),
    };
  }

  function decide(state: RolloutsState, process: Process): AdvanceRolloutCommand | undefined {
    const rollout = findPoolRollout(process.view);
    if (rollout?.phase !== 'running') return undefined;
    const decided: RolloutStep | undefined = parts.decide(
      rollout,
      observe(state, process, rollout),
    );
    if (decided === undefined) return undefined;
    const { pool, startedAt } = rollout;
    const { phase, share } = decided;
    return { type: 'advanceRollout', pool, startedAt, phase, share };
  }

  function orderSteps(state: RolloutsState): Step<RolloutsState>[] {
    return bounds.orders.map((order, position) =>
      step(state, `log runs order ${position}`, (next) => runOrder(next, parts, position, order)),
    );
  }

  function proposalSteps(state: RolloutsState): Step<RolloutsState>[] {
    return [...state.proposed].map(([label, command]) =>
      step(state, `log runs ${label}`, (next) => runStep(next, parts, command)),
    );
  }

  function replaceProcess(state: RolloutsState, position: number, process: Process): void {
    state.processes = state.processes.map((own, other) => (other === position ? process : own));
  }

  function processSteps(state: RolloutsState): Step<RolloutsState>[] {
    return state.processes.flatMap((process, position) => {
      const steps: Step<RolloutsState>[] = [];
      const { configuration } = state.machine;
      if (process.view.revision < configuration.revision) {
        steps.push(
          step(state, `process ${position} gets revision ${configuration.revision}`, (next) =>
            replaceProcess(next, position, { ...process, view: configuration }),
          ),
        );
      }
      const rollout = findPoolRollout(process.view);
      if (rollout?.phase !== 'running') return steps;
      if (!process.seen.includes(rollout.startedAt)) {
        const seen = [...process.seen, rollout.startedAt];
        steps.push(
          step(state, `process ${position} sees answers`, (next) =>
            replaceProcess(next, position, { ...process, seen }),
          ),
        );
      }
      const command = decide(state, process);
      if (command === undefined) return steps;
      const label = `${command.startedAt} ${command.phase} ${command.share}`;
      if (!state.proposed.has(label)) {
        steps.push(
          step(state, `process ${position} proposes ${label}`, (next) => {
            next.proposed.set(label, command);
          }),
        );
      }
      return steps;
    });
  }

  function pushSteps(state: RolloutsState): Step<RolloutsState>[] {
    return state.entries.flatMap((inForce, position) =>
      state.accepted
        .filter(({ revision }) => revision !== inForce.revision)
        .map((pushed) =>
          step(state, `entry ${position} gets revision ${pushed.revision}`, (next) => {
            const own: ConfigurationState = { configuration: inForce };
            parts.applyConfiguration(own, pushed);
            const { configuration } = own;
            if (configuration.revision < inForce.revision) {
              next.wrong ??= 'a revision in force went back';
            }
            next.entries = state.entries.map((entry, other) =>
              other === position ? configuration : entry,
            );
          }),
        ),
    );
  }

  function readStep(state: RolloutsState): Step<RolloutsState> {
    return step(state, 'an operator reads', (next) => {
      const views = state.processes.map(({ view }) => view);
      const revision = parts.read([state.machine.configuration, ...views])?.revision ?? 0;
      if (revision < state.lastRead) next.wrong ??= 'a read went back';
      next.lastRead = revision;
    });
  }

  function environmentSteps(state: RolloutsState): Step<RolloutsState>[] {
    const later = bounds.times.find((time) => time > state.time);
    const steps: Step<RolloutsState>[] = [];
    if (later !== undefined) {
      steps.push(
        step(state, `time ${later}`, (next) => {
          next.time = later;
        }),
      );
    }
    if (state.powerLosses >= bounds.powerLosses) return steps;
    const loss = step(state, 'all power is lost', (next) => {
      next.powerLosses += 1;
      next.machine = restoreSnapshot(parts.takeSnapshot(state.machine));
      next.wrong ??= judgeChange(
        findPoolRollout(state.machine.configuration),
        findPoolRollout(next.machine.configuration),
      );
      next.processes = state.processes.map(() => ({ view: emptyConfiguration, seen: [] }));
    });
    return [...steps, loss];
  }

  const machine = new MachineState();
  machine.configuration = {
    revision: 1,
    routes: { revision: 1, rows: [] },
    pools: { revision: 1, rows: [{ name: POOL } as never] },
  };
  const { configuration } = machine;
  return {
    initial: {
      machine,
      time: bounds.times[0] ?? 0,
      powerLosses: 0,
      accepted: [configuration],
      processes: Array.from({ length: bounds.processes }, () => ({
        view: configuration,
        seen: [],
      })),
      entries: Array.from({ length: bounds.entries }, () => configuration),
      proposed: new Map(),
      acknowledged: new Map(),
      lastRead: 0,
      wrong: undefined,
    },
    steps: (state) => [
      ...orderSteps(state),
      ...proposalSteps(state),
      ...processSteps(state),
      ...pushSteps(state),
      readStep(state),
      ...environmentSteps(state),
    ],
    key: (state) =>
      JSON.stringify([
        state.time,
        state.powerLosses,
        state.machine.configuration.rollouts,
        state.accepted.map(({ rollouts }) => rollouts),
        state.processes.map(({ view, seen }) => [view.revision, ...seen]),
        state.entries.map(({ revision }) => revision),
        [...state.proposed.keys()].sort(),
        [...state.acknowledged].map(([position, { at, startedAt }]) => [position, at, startedAt]),
        state.lastRead,
        state.wrong,
      ]),
    check: (state) => state.wrong,
  };
}
