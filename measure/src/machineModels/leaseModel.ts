/**
 * Two holders of one lease, the log between them, and clocks that drift. True time passes in whole
 * ticks; one holder's monotonic clock runs slow by the bound and the other's fast. The log's wall
 * clock may jump ahead, as on a change of leader. Asks and answers are delivered at any time, any
 * number of times, or never, so a partition or a crash of a holder needs no step of its own.
 */
import {
  makeLeaseHolder,
  maySendOrder,
  reduceLease,
  type LeaseEffect,
  type LeaseEvent,
  type LeaseHeldEvent,
  type LeaseHolder,
} from '@hornbeampond/controller-core';
import type { LeaseResult, TakeLeaseCommand } from '@hornbeampond/schema';
import {
  applyCommand,
  MachineState,
  restoreSnapshot,
  takeSnapshot,
} from '@hornbeampond/store-core';
import type { Model, Step } from '@hornbeampond/testing';

export interface LeaseBounds {
  /** Asks that each holder makes at most. */
  readonly asks: readonly number[];
  /** How often the log may run each ask. */
  readonly runs: number;
  /** How often the log's clock may jump, and by how much. */
  readonly jumps: number;
  readonly jump: number;
  /**
   * Duration that each holder asks for. A successor whose lease is longer than its wait acts
   * without renewing, which keeps the model small.
   */
  readonly durations: readonly number[];
  readonly longestOrder: number;
  /** Rate of each holder's clock against true time. */
  readonly rates: readonly number[];
  readonly driftBound: number;
  /** True if a holder may give its lease back while no order of it is in flight. */
  readonly releases: boolean;
}

/** What a mutation may do to an event before, and to the holder after, the real reducer. */
export type ReduceLease = typeof reduceLease;

interface Ask {
  readonly holder: number;
  readonly ask: number;
  readonly command: TakeLeaseCommand;
  readonly runs: number;
}

interface Answer {
  readonly holder: number;
  readonly ask: number;
  readonly result: Extract<LeaseResult, { type: 'leaseHeld' }>;
}

export interface LeaseState {
  machine: MachineState;
  readonly time: number;
  jumps: number;
  readonly holders: LeaseHolder[];
  readonly asks: Map<string, Ask>;
  readonly answers: Map<string, Answer>;
  readonly releases: Set<number>;
  /** True time at which each holder could last give an order to an unfenced backend server. */
  readonly lastOrders: number[];
  /** Epochs under which each holder was ever granted the lease. */
  readonly epochs: readonly (readonly number[])[];
}

function copy(state: LeaseState): LeaseState {
  return {
    ...state,
    holders: [...state.holders],
    asks: new Map(state.asks),
    answers: new Map(state.answers),
    releases: new Set(state.releases),
    lastOrders: [...state.lastOrders],
  };
}

function copyHolder(state: LeaseState, position: number): LeaseHolder {
  const holder = state.holders[position] as LeaseHolder;
  const copied = { ...holder, requestTimes: new Map(holder.requestTimes) };
  state.holders[position] = copied;
  return copied;
}

/** An answer whose ask was answered already, or is too old, reaches nobody. */
function isAwaited(state: LeaseState, holder: number, ask: number): boolean {
  return state.holders[holder]?.requestTimes.has(ask) === true;
}

/** Makes the model; `reduce` replaces the real reducer by a mutation of it. */
export function makeLeaseModel(
  bounds: LeaseBounds,
  reduce: ReduceLease = reduceLease,
): Model<LeaseState> {
  const clockOf = (state: LeaseState, position: number): number =>
    state.time * (bounds.rates[position] ?? 1);
  const mayOrder = (state: LeaseState, position: number): boolean =>
    maySendOrder(state.holders[position] as LeaseHolder, clockOf(state, position), false);
  const logTime = (state: LeaseState): number => 1 + state.time + state.jumps * bounds.jump;

  function change(label: string, state: LeaseState, take: (next: LeaseState) => void) {
    const step: Step<LeaseState> = {
      label,
      take: () => {
        const next = copy(state);
        take(next);
        next.holders.forEach((_holder, position) => {
          if (mayOrder(next, position)) next.lastOrders[position] = next.time;
        });
        return next;
      },
    };
    return step;
  }

  function carryOut(state: LeaseState, holder: number, effects: readonly LeaseEffect[]): void {
    effects.forEach((effect) => {
      if (effect.type !== 'propose') return;
      const { requestNumber: ask, command } = effect;
      if (command.type === 'takeLease')
        state.asks.set(`${holder}.${ask}`, { holder, ask, command, runs: 0 });
      else state.releases.add(holder);
    });
  }

  function askSteps(state: LeaseState): Step<LeaseState>[] {
    return state.holders.flatMap((holder, position) => {
      if (holder.lastRequestNumber >= (bounds.asks[position] ?? 0) || holder.stopped) return [];
      const event: LeaseEvent = { type: 'askDue', now: clockOf(state, position) };
      const step = change(`${position} asks`, state, (next) =>
        carryOut(next, position, reduce(copyHolder(next, position), event)),
      );
      return [step];
    });
  }

  function logSteps(state: LeaseState): Step<LeaseState>[] {
    const runnable = [...state.asks].filter(([, { runs }]) => runs < bounds.runs);
    return runnable.map(([key, asked]) =>
      change(`log runs ask ${key}`, state, (next) => {
        const { holder, ask, command, runs } = asked;
        next.asks.set(key, { ...asked, runs: runs + 1 });
        next.machine = restoreSnapshot(takeSnapshot(state.machine));
        const result = applyCommand(next.machine, { at: logTime(next), command }) as LeaseResult;
        if (result.type !== 'leaseHeld' || !isAwaited(next, holder, ask)) return;
        const { epoch, previousDuration } = result;
        next.answers.set(`${key}=${epoch}.${previousDuration}`, { holder, ask, result });
      }),
    );
  }

  function answerSteps(state: LeaseState): Step<LeaseState>[] {
    return [...state.answers].flatMap(([answerKey, { holder, ask, result }]) => {
      if (!isAwaited(state, holder, ask)) return [];
      const now = clockOf(state, holder);
      const event: LeaseHeldEvent = { ...result, type: 'leaseHeld', now, requestNumber: ask };
      const step = change(`${holder} gets ${answerKey}`, state, (next) => {
        next.answers.delete(answerKey);
        const own = copyHolder(next, holder);
        carryOut(next, holder, reduce(own, event));
        Object.assign(next, {
          epochs: next.epochs.map((known, position) =>
            position === holder && !known.includes(own.epoch) ? [...known, own.epoch] : known,
          ),
        });
      });
      return [step];
    });
  }

  function releaseSteps(state: LeaseState): Step<LeaseState>[] {
    if (!bounds.releases) return [];
    const stops = state.holders.flatMap((holder, position) => {
      const lastOrder = state.lastOrders[position] ?? -Infinity;
      const isQuiet = state.time >= lastOrder + bounds.longestOrder;
      if (holder.stopped || holder.epoch === 0 || !isQuiet) return [];
      const step = change(`${position} stops`, state, (next) =>
        carryOut(next, position, reduce(copyHolder(next, position), { type: 'stop' })),
      );
      return [step];
    });
    const runs = [...state.releases].map((position) =>
      change(`log runs release of ${position}`, state, (next) => {
        const { settings, epoch } = next.holders[position] as LeaseHolder;
        const { lease, holder } = settings;
        next.machine = restoreSnapshot(takeSnapshot(state.machine));
        const command = { type: 'releaseLease', lease, holder, epoch } as const;
        applyCommand(next.machine, { at: logTime(next), command });
      }),
    );
    return [...stops, ...runs];
  }

  function timeSteps(state: LeaseState): Step<LeaseState>[] {
    const tick = change('tick', state, (next) => {
      Object.assign(next, { time: state.time + 1 });
    });
    const jump = change("the log's clock jumps", state, (next) => {
      next.jumps += 1;
    });
    return state.jumps < bounds.jumps ? [tick, jump] : [tick];
  }

  /** A span from now; what is over is over, however long ago. */
  const ahead = (until: number, now: number): number => Math.max(until - now, 0);

  function keyOf(state: LeaseState): string {
    const ofHolders = state.holders.map((holder, position) => {
      const now = clockOf(state, position);
      const asks = [...holder.requestTimes].map(
        ([ask, askedAt]) => `${ask}:${ahead(askedAt + holder.settings.duration, now)}`,
      );
      return [
        holder.epoch,
        ahead(holder.heldUntil, now),
        ahead(holder.unfencedFrom, now),
        holder.stopped,
        holder.lastRequestNumber,
        ...asks,
        ahead((state.lastOrders[position] ?? -Infinity) + bounds.longestOrder, state.time),
        state.epochs[position]?.join('+'),
      ].join();
    });
    const leases = [...state.machine.leases.values()].map((lease) => {
      const { holder: name, epoch, duration: span, previousDuration, until } = lease;
      return [name, epoch, span, previousDuration, ahead(until, logTime(state))].join();
    });
    const asks = [...state.asks].map(([name, { runs }]) => `${name}:${runs}`);
    const answers = [...state.answers.keys()].sort();
    const parts = [...ofHolders, ...leases, state.jumps, asks.sort(), answers, ...state.releases];
    return parts.join('|');
  }

  function check(state: LeaseState): string | undefined {
    const acting = state.lastOrders.filter((last) => state.time < last + bounds.longestOrder);
    if (acting.length > 1) return 'two holders act at once before an unfenced backend server';
    const [first = [], second = []] = state.epochs;
    if (first.some((epoch) => second.includes(epoch))) return 'two holders share an epoch';
    return undefined;
  }

  const { longestOrder, driftBound } = bounds;
  const holders = bounds.rates.map((_rate, position) =>
    makeLeaseHolder({
      lease: 'dakar-a',
      holder: `controller-${position}`,
      duration: bounds.durations[position] ?? 0,
      renewInterval: 1,
      maxClockDriftFraction: driftBound,
      maxOrderDuration: longestOrder,
    }),
  );
  return {
    initial: {
      machine: new MachineState(),
      time: 0,
      jumps: 0,
      holders,
      asks: new Map(),
      answers: new Map(),
      releases: new Set(),
      lastOrders: holders.map(() => -Infinity),
      epochs: holders.map(() => []),
    },
    steps: (state) => [
      ...askSteps(state),
      ...logSteps(state),
      ...answerSteps(state),
      ...releaseSteps(state),
      ...timeSteps(state),
    ],
    key: keyOf,
    check,
  };
}
