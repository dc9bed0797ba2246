/**
 * Changes of the two tables that race, are resent and repeated, a log that restarts from its
 * snapshot, and instances to which revisions are pushed in any order, whole or as deltas.
 *
 * Every command may be run by the log at any time and any number of times, and every push may
 * reach any instance at any time and any number of times; a loss is a push never delivered.
 */
import { isDeepStrictEqual } from 'node:util';
import {
  applyConfiguration,
  applyConfigurationDelta,
  reduceConfigurationBootstrap,
  makeConfigurationBootstrap,
  type ConfigurationState,
} from '@hornbeampond/entry-core';
import {
  emptyConfiguration,
  type Configuration,
  type PutTableCommand,
  type PutTableResult,
} from '@hornbeampond/schema';
import {
  applyCommand,
  configurationSince,
  MachineState,
  restoreSnapshot,
  takeSnapshot,
  type ConfigurationUpdate,
} from '@hornbeampond/store-core';
import type { Model, Step } from '@hornbeampond/testing';

export interface TablesParts {
  readonly takeSnapshot: typeof takeSnapshot;
  readonly offerConfiguration: typeof applyConfiguration;
  readonly reduceStart: typeof reduceConfigurationBootstrap;
}

export const realTablesParts: TablesParts = {
  takeSnapshot,
  offerConfiguration: applyConfiguration,
  reduceStart: reduceConfigurationBootstrap,
};

export interface TablesBounds {
  readonly changes: readonly PutTableCommand[];
  readonly instances: number;
  /** How often the log restarts from its snapshot. */
  readonly restarts: number;
  /** How often an instance restarts while it is cut off from the stores. */
  readonly cutOffStarts?: number;
}

export interface TablesState {
  machine: MachineState;
  restarts: number;
  cutOffStarts: number;
  /** First result of each change, by its place in the bounds. */
  readonly results: Map<number, PutTableResult>;
  /** The accepted configurations in the log's order. */
  readonly accepted: readonly Configuration[];
  readonly pushes: Map<string, ConfigurationUpdate>;
  readonly instances: Configuration[];
  wrong: string | undefined;
}

const LOG_TIME = 1;

function copy(state: TablesState): TablesState {
  return {
    ...state,
    results: new Map(state.results),
    pushes: new Map(state.pushes),
    instances: [...state.instances],
  };
}

function step(state: TablesState, label: string, take: (next: TablesState) => void) {
  const made: Step<TablesState> = {
    label,
    take: () => {
      const next = copy(state);
      take(next);
      return next;
    },
  };
  return made;
}

/** Pushes what the store decides for each revision that a subscriber may be at, and the whole. */
function publish(state: TablesState): void {
  const { configuration } = state.machine;
  const { revision } = configuration;
  state.pushes.set(`whole ${revision}`, { type: 'whole', configuration });
  for (let from = 0; from < revision; from += 1) {
    const update = configurationSince(state.machine, from);
    if (update.type === 'delta') state.pushes.set(`delta ${from} to ${revision}`, update);
  }
}

function runChange(state: TablesState, position: number, command: PutTableCommand): void {
  state.machine = copyMachine(state.machine);
  const before = state.machine.configuration.revision;
  const result = applyCommand(state.machine, { at: LOG_TIME, command }) as PutTableResult;
  const first = state.results.get(position);
  if (first !== undefined && !isDeepStrictEqual(first, result)) {
    state.wrong = 'a change that was resent got another answer';
  }
  state.results.set(position, first ?? result);
  const { configuration } = state.machine;
  if (configuration.revision === before) return;
  Object.assign(state, { accepted: [...state.accepted, configuration] });
  publish(state);
}

/** A copy with its history, which a snapshot leaves out. */
function copyMachine(machine: MachineState): MachineState {
  const copied = restoreSnapshot(takeSnapshot(machine));
  copied.history.push(...machine.history);
  return copied;
}

function peersOf(state: TablesState, position: number): number[] {
  return [...state.instances.keys()].filter((peer) => peer !== position);
}

/** Every order of every choice of peers, but for no peer at all. */
function ordersOf(peers: readonly number[]): number[][] {
  return peers.flatMap((first) => [
    [first],
    ...ordersOf(peers.filter((peer) => peer !== first)).map((rest) => [first, ...rest]),
  ]);
}

/** Makes the model; `parts` replaces a real function by a mutation of it. */
export function makeTablesModel(
  bounds: TablesBounds,
  parts: TablesParts = realTablesParts,
): Model<TablesState> {
  function changeSteps(state: TablesState): Step<TablesState>[] {
    return bounds.changes.map((command, position) =>
      step(state, `log runs ${position}`, (next) => runChange(next, position, command)),
    );
  }

  function restartSteps(state: TablesState): Step<TablesState>[] {
    if (state.restarts >= bounds.restarts) return [];
    const restart = step(state, 'log restarts', (next) => {
      next.restarts += 1;
      next.machine = restoreSnapshot(parts.takeSnapshot(state.machine));
    });
    return [restart];
  }

  function offer(next: TablesState, position: number, update: ConfigurationUpdate): void {
    const before = next.instances[position] ?? emptyConfiguration;
    const own: ConfigurationState = { configuration: before };
    if (update.type === 'whole') parts.offerConfiguration(own, update.configuration);
    else applyConfigurationDelta(own, update.delta);
    if (own.configuration.revision < before.revision) {
      next.wrong = 'a revision in force went back';
    }
    next.instances[position] = own.configuration;
  }

  function pushSteps(state: TablesState): Step<TablesState>[] {
    return [...state.pushes].flatMap(([label, update]) =>
      state.instances.map((_configuration, position) =>
        step(state, `instance ${position} gets ${label}`, (next) => offer(next, position, update)),
      ),
    );
  }

  /** Restarts an instance that only these peers answer, in this order. */
  function restartCutOff(next: TablesState, position: number, answering: readonly number[]): void {
    const start = makeConfigurationBootstrap(peersOf(next, position).map(String));
    next.cutOffStarts += 1;
    parts.reduceStart(start, { type: 'quorumFailed' });
    answering.forEach((peer) => {
      const configuration = next.instances[peer] ?? emptyConfiguration;
      parts.reduceStart(start, { type: 'peerAnswered', peer: `${peer}`, configuration });
    });
    parts.reduceStart(start, { type: 'waitOver' });
    const newest = Math.max(...answering.map((peer) => next.instances[peer]?.revision ?? 0));
    const started = start.newest ?? emptyConfiguration;
    if (started.revision < newest) next.wrong = 'a cut-off instance starts behind a peer';
    next.instances[position] = started;
  }

  function cutOffSteps(state: TablesState): Step<TablesState>[] {
    if (state.cutOffStarts >= (bounds.cutOffStarts ?? 0)) return [];
    return state.instances.flatMap((_configuration, position) =>
      ordersOf(peersOf(state, position)).map((answering) =>
        step(state, `instance ${position} restarts, ${answering.join(' then ')} answer`, (next) =>
          restartCutOff(next, position, answering),
        ),
      ),
    );
  }

  return {
    initial: {
      machine: new MachineState(),
      restarts: 0,
      cutOffStarts: 0,
      results: new Map(),
      accepted: [emptyConfiguration],
      pushes: new Map(),
      instances: Array.from({ length: bounds.instances }, () => emptyConfiguration),
      wrong: undefined,
    },
    steps: (state) => [
      ...changeSteps(state),
      ...restartSteps(state),
      ...pushSteps(state),
      ...cutOffSteps(state),
    ],
    key: (state) =>
      JSON.stringify([
        state.restarts,
        state.cutOffStarts,
        [...state.results],
        state.machine.configuration,
        [...state.machine.changes.keys()],
        [...state.pushes.keys()].sort(),
        state.instances.map((configuration) => configuration.revision),
        state.wrong,
      ]),
    check: (state) => state.wrong ?? checkInForce(state) ?? checkWinners(state, bounds),
  };
}

/** What an instance applies is, row by row and in order, what the log accepted as that revision. */
function checkInForce(state: TablesState): string | undefined {
  const isOther = state.instances.some(
    (inForce) => !isDeepStrictEqual(inForce, state.accepted[inForce.revision]),
  );
  return isOther ? 'what is in force is not what was accepted' : undefined;
}

function checkWinners(state: TablesState, bounds: TablesBounds): string | undefined {
  const winners = new Set<string>();
  for (const [position, result] of state.results) {
    const command = bounds.changes[position];
    if (command === undefined || result.type !== 'tableAccepted') continue;
    const base = `${command.table} ${command.baseRevision}`;
    if (winners.has(base)) return 'two changes made from one revision were accepted';
    winners.add(base);
  }
  return undefined;
}
