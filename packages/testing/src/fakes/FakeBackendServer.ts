/**
 * What fake engines and fake plain services share: lagging load reports, and the misbehaviour
 * that both can be told to show.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import type { EpochMilliseconds, LoadReport, Milliseconds } from '@hornbeampond/schema';
import { answerJson, FakeServer, type FakeServerOptions } from './FakeServer.js';

/** Load states kept for lagging reports. */
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
  /** How old load reports are. */
  readonly loadLag?: Milliseconds;
}

export abstract class FakeBackendServer extends FakeServer {
  readonly instance: string;

  readonly timers: TimerService;

  /** Calls answered with "busy". */
  busyCount = 0;

  /** Times that a poison request took the server down. */
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

  /** Refuses new work with status 503 for as long as it is set. */
  setBusy(busy: boolean): void {
    this.busy = busy;
  }

  /** Takes each call in at once but begins to work on it this much later. */
  setAnswerDelay(delay: Milliseconds): void {
    this.answerDelay = delay;
  }

  /** A call whose body holds `marker` kills the server. */
  setPoison(marker: string | undefined): void {
    this.poison = marker;
  }

  /** Load reports tell the state of this long ago. */
  setLoadLag(lag: Milliseconds): void {
    this.loadLag = lag;
  }

  /** Notes the load as it is now; subclasses call it after each change. */
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

  /** Passes work that the server takes; refuses it, or dies of it, as it was told to. */
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
