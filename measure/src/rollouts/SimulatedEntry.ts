/**
 * One entry of a simulated roll-out: the real choice of a version, the real counting of answers and the
 * real evidence, before instances whose answers the simulation draws. A slow entry reads what arrives
 * while it has no processor time at the end of that time.
 */
import {
  assumeRoom,
  chooseVersion,
  describeRollouts,
  makeEntryState,
  recordServerDelay,
  recordVersionFailure,
  recordVersionSuccess,
  reduceEntry,
  TICK_INTERVAL_MILLISECONDS,
  type AttemptState,
  type EntryEventPayload,
  type EntryState,
  type RequestState,
} from '@hornbeampond/entry-core';
import type {
  Configuration,
  EntryReport,
  Milliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';
import type { VirtualTimeline } from '@hornbeampond/testing';
import { STARTED_AT } from './DutyProcesses.js';

const REPORT_INTERVAL: Milliseconds = 1000;

/** A slow entry gets no processor time for this part of each period. */
const SLOW_PERIOD: Milliseconds = 450;
const SLOW_BLOCK: Milliseconds = 300;

export interface SimulatedAnswer {
  readonly firstTokenAfter: Milliseconds;
  readonly finishedAfter: Milliseconds;
  readonly isFailure: boolean;
}

export class SimulatedEntry {
  private readonly state: EntryState;

  private sequence = 0;

  private attempts = 0;

  private isStopped = false;

  constructor(
    private readonly timeline: VirtualTimeline,
    private readonly number: number,
    private readonly isSlow: boolean,
    private readonly sendReport: (report: EntryReport) => void,
  ) {
    this.state = makeEntryState({
      instance: `entry-${number}`,
      dataCentre: 'dc-a',
      incarnation: STARTED_AT + timeline.now,
      maxQueuedRequests: 1000,
    });
    this.state.membership.reportDueAt = timeline.now + ((number * 37) % REPORT_INTERVAL);
    if (isSlow) this.after(TICK_INTERVAL_MILLISECONDS, () => this.tick());
  }

  /** A stopped entry reads nothing any more. */
  stop(): void {
    this.isStopped = true;
  }

  applyConfiguration(configuration: Configuration): void {
    this.read(() => this.send({ type: 'configurationReceived', configuration }));
  }

  applyInstances(instances: readonly PlatformInstance[]): void {
    this.read(() => this.send({ type: 'instancesListed', instances }));
  }

  /** Reports if it is due. */
  report(): void {
    const { membership } = this.state;
    const { now } = this.timeline;
    if (this.isStopped || this.blockEnd > now || membership.reportDueAt > now) return;
    membership.reportDueAt = now + REPORT_INTERVAL;
    this.sequence += 1;
    this.sendReport({
      type: 'entryReport',
      instance: this.state.identity.instance,
      dataCentre: 'dc-a',
      incarnation: this.state.identity.incarnation,
      sequence: this.sequence,
      leaving: false,
      revision: this.state.configuration.revision,
      inProgress: {},
      leavingBackendServers: {},
      suspects: [],
      rollouts: describeRollouts(this.state),
    });
  }

  /** The instances that a request of this pool may be sent to. */
  listAllowed(request: RequestState): string[] {
    const { excluded, limitedTo } = chooseVersion(this.state, request);
    return [...this.state.backendServers.values()]
      .filter(
        ({ platformInstance: { pool, state } }) => pool === request.pool.name && state === 'live',
      )
      .map(({ platformInstance: { instance } }) => instance)
      .filter((instance) => !excluded.has(instance) && limitedTo?.includes(instance) !== false);
  }

  /** Sends an attempt, whose answer is read after its delays. */
  sendAttempt(
    request: RequestState,
    instance: string,
    answer: SimulatedAnswer,
    onRead: () => void,
  ): void {
    const server = this.state.backendServers.get(instance);
    if (server === undefined) return;
    this.attempts += 1;
    const { now } = this.timeline;
    const attempt: AttemptState = {
      attemptId: `${this.number}.${this.attempts}`,
      requestId: '',
      instance,
      version: server.platformInstance.version,
      startedAt: now,
      assumedRoom: assumeRoom(this.state, server),
      latenessBefore: this.state.slowness.detector.totalLateness(now),
      resumedFromTokens: 0,
      maybeSent: true,
      firstTokenAt: undefined,
      tokens: 0,
      tokensUpdatedAt: undefined,
      timedOut: false,
    };
    request.triedInstances.add(instance);
    server.attemptIds.add(attempt.attemptId);
    const finish = () => {
      this.finish(request, attempt, answer.isFailure);
      onRead();
    };
    if (answer.isFailure) {
      this.after(answer.firstTokenAfter, finish);
      return;
    }
    this.after(answer.firstTokenAfter, () => {
      recordServerDelay(this.state, attempt, this.timeline.now);
      this.after(answer.finishedAfter - answer.firstTokenAfter, finish);
    });
  }

  private finish(request: RequestState, attempt: AttemptState, isFailure: boolean): void {
    const server = this.state.backendServers.get(attempt.instance);
    // The connection to an instance that is gone is lost; such attempts are counted for no version.
    if (server === undefined) return;
    server.attemptIds.delete(attempt.attemptId);
    if (isFailure) recordVersionFailure(this.state, request, attempt, 'serverError');
    else recordVersionSuccess(this.state, request, attempt, this.timeline.now);
  }

  private send(event: EntryEventPayload): void {
    const { now } = this.timeline;
    reduceEntry(this.state, { ...event, now, wallNow: STARTED_AT + now });
  }

  private tick(): void {
    this.state.slowness.detector.recordTick(this.timeline.now);
    this.after(TICK_INTERVAL_MILLISECONDS, () => this.tick());
  }

  /** When this entry gets processor time again; in the past if it has some. */
  private get blockEnd(): number {
    const { now } = this.timeline;
    const inPeriod = (now + this.number * 97) % SLOW_PERIOD;
    return this.isSlow && inPeriod < SLOW_BLOCK ? now + SLOW_BLOCK - inPeriod : now;
  }

  private after(delay: Milliseconds, run: () => void): void {
    this.timeline.after(delay, () => this.read(run));
  }

  private read(run: () => void): void {
    if (this.isStopped) return;
    const { now } = this.timeline;
    const { blockEnd } = this;
    if (blockEnd > now) this.timeline.after(blockEnd - now, () => this.read(run));
    else run();
  }
}
