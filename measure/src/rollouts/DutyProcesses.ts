/**
 * The log and the processes that decide the steps of roll-outs: the real state machine and the real
 * reducers, with a lease that its holder keeps until it is killed.
 */
import {
  makeSingletonState,
  reduceSingleton,
  type SingletonEffect,
  type SingletonEventPayload,
  type SingletonState,
} from '@hornbeampond/controller-core';
import type { Configuration, EntryReport, Milliseconds, StoreCommand } from '@hornbeampond/schema';
import {
  applyCommand,
  MachineState,
  restoreSnapshot,
  takeSnapshot,
} from '@hornbeampond/store-core';
import type { VirtualTimeline } from '@hornbeampond/testing';

const PROCESSES = 3;
const TICK: Milliseconds = 250;
const TICK_OFFSET: Milliseconds = 80;
const COMMIT_DELAY: Milliseconds = 30;
const PUSH_DELAY: Milliseconds = 50;
const LEASE: Milliseconds = 5000;
const RESTART: Milliseconds = 2000;

/** Wall clock at the start of a simulation. */
export const STARTED_AT = 1_700_000_000_000;

export class DutyProcesses {
  private machine = new MachineState();

  private processes: (SingletonState | undefined)[];

  private holder = 0;

  private epoch = 1;

  private proposedSteps = 0;

  /** The holder is killed when it proposes the step with this number. */
  killAtStep: { readonly step: number; readonly losesStep: boolean } | undefined;

  isPartitioned = false;

  constructor(
    private readonly timeline: VirtualTimeline,
    private readonly onConfiguration: (configuration: Configuration) => void,
    pools: readonly string[],
  ) {
    this.machine.configuration = {
      revision: 1,
      routes: { revision: 1, rows: [] },
      pools: { revision: 1, rows: pools.map((name) => ({ name }) as never) },
    };
    this.processes = Array.from({ length: PROCESSES }, () => this.start());
    this.takeLease(0);
    for (let process = 0; process < PROCESSES; process += 1) {
      timeline.after(process * TICK_OFFSET, () =>
        timeline.every(TICK, () => this.send(process, { type: 'tick' })),
      );
    }
  }

  get configuration(): Configuration {
    return this.machine.configuration;
  }

  /** The log runs a command unless it cannot commit. */
  propose(command: StoreCommand): void {
    if (this.isPartitioned) return;
    this.timeline.after(COMMIT_DELAY, () => {
      const { revision } = this.machine.configuration;
      applyCommand(this.machine, { at: STARTED_AT + this.timeline.now, command });
      if (this.machine.configuration.revision > revision) this.push();
    });
  }

  receiveReport(report: EntryReport): void {
    this.processes.forEach((_, process) => this.send(process, { type: 'entryReported', report }));
  }

  /** All processes and the log restart; what the log has committed is on disk. */
  restart(): void {
    this.machine = restoreSnapshot(takeSnapshot(this.machine));
    this.processes = this.processes.map(() => this.start());
    this.push();
    this.timeline.after(LEASE, () => this.takeLease(0));
  }

  private push(): void {
    const { configuration } = this.machine;
    this.timeline.after(PUSH_DELAY, () => {
      this.processes.forEach((_, process) =>
        this.send(process, { type: 'configurationReceived', configuration }),
      );
      this.onConfiguration(configuration);
    });
  }

  private start(): SingletonState {
    const state = makeSingletonState({ usageWindow: 0, ordersInstances: false });
    state.configuration = this.machine.configuration;
    return state;
  }

  private takeLease(process: number): void {
    this.holder = process;
    this.epoch += 1;
    this.send(process, { type: 'leaseHeld', epoch: this.epoch });
  }

  private send(process: number, event: SingletonEventPayload): void {
    const state = this.processes[process];
    if (state === undefined) return;
    const { now } = this.timeline;
    const wallNow = STARTED_AT + now;
    reduceSingleton(state, { ...event, now, wallNow }).forEach((effect) =>
      this.runEffect(process, effect),
    );
  }

  private runEffect(process: number, effect: SingletonEffect): void {
    if (effect.type !== 'advanceRollout') return;
    if (process === this.holder) this.proposedSteps += 1;
    const isKilled = process === this.holder && this.killAtStep?.step === this.proposedSteps;
    if (!isKilled || this.killAtStep?.losesStep === false) this.propose(effect.command);
    if (isKilled) this.killHolder();
  }

  private killHolder(): void {
    const killed = this.holder;
    this.killAtStep = undefined;
    this.processes[killed] = undefined;
    this.holder = -1;
    this.timeline.after(RESTART, () => {
      this.processes[killed] = this.start();
    });
    this.timeline.after(LEASE, () => this.takeLease((killed + 1) % PROCESSES));
  }
}
