/**
 * Base class of fake engines and fake plain services: delayed load reports, and the faults that
 * tests can inject into either, such as refusals, delays and crashes on a marked request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import type { EpochMilliseconds, LoadReport, Milliseconds } from '@hornbeampond/schema';
import { answerJson, FakeServer, type FakeServerOptions } from './FakeServer.js';

/** Load states kept for delayed reports. */
const MAX_LOAD_STATES = 1000;

const BUSY_STATUS = 503;

interface LoadState {
  readonly since: EpochMilliseconds;
  readonly running: number;
  readonly queued: number;
}

export interface FakeBackendServerOptions extends FakeServerOptions {
  readonly instance?: string;
  readonly timers?: TimerService;
  /** Age of the state in a load report. */
  readonly loadLag?: Milliseconds;
}

export abstract class FakeBackendServer extends FakeServer {
  readonly instance: string;

  readonly timers: TimerService;

  /** Calls refused with status 503. */
  busyCount = 0;

  /** Number of times that a poison request killed the server. */
  crashCount = 0;

  private busy = false;

  private answerDelay: Milliseconds = 0;

  private poison: string | undefined;

  private loadLag: Milliseconds;

  private loadStates: LoadState[] = [];

  protected constructor(options: FakeBackendServerOptions, defaultInstance: string) {
    super(options);
    this.instance = options.instance ?? defaultInstance;
    this.timers = options.timers ?? new SystemTimerService();
    this.loadLag = options.loadLag ?? 0;
  }

  /** While set, refuses new work with status 503. */
  setBusy(busy: boolean): void {
    this.busy = busy;
  }

  /** Delays each call that is not refused as busy by `delay` before it is processed. */
  setAnswerDelay(delay: Milliseconds): void {
    this.answerDelay = delay;
  }

  /** A call whose body contains `marker` kills the server. */
  setPoison(marker: string | undefined): void {
    this.poison = marker;
  }

  /** Load reports describe the state of `lag` ago. */
  setLoadLag(lag: Milliseconds): void {
    this.loadLag = lag;
  }

  /** Records the current load; subclasses call it after each change. */
  protected recordLoad(running: number, queued: number): void {
    this.loadStates.push({ since: this.timers.wallNow(), running, queued });
    if (this.loadStates.length > MAX_LOAD_STATES) this.loadStates.shift();
    this.notifyWaiters();
  }

  protected reportLoad(): LoadReport {
    const measuredAt = this.timers.wallNow() - this.loadLag;
    const state = this.loadStates.findLast(({ since }) => since <= measuredAt);
    const { running = 0, queued = 0 } = state ?? {};
    return { instance: this.instance, measuredAt, running, queued };
  }

  protected override resetState(): void {
    this.loadStates = [];
  }

  /**
   * Resolves true if the call is to be run. A poison request kills the server and a busy server
   * answers with a refusal; both resolve false, as does a connection closed meanwhile.
   */
  protected async admitWork(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<boolean> {
    if (this.poison !== undefined && body.includes(this.poison)) {
      this.crashCount += 1;
      await this.die();
      return false;
    }
    if (this.busy) {
      this.busyCount += 1;
      response.setHeader('retry-after', '1');
      answerJson(response, BUSY_STATUS, { error: 'busy' });
      return false;
    }
    if (this.answerDelay > 0) await this.timers.wait(this.answerDelay);
    return !request.socket.destroyed;
  }
}
