/**
 * A fake weight store that serves the HTTP interface of `HttpWeightStoreAdapter`. A token bucket
 * limits the rate of granted loads.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { LoadRequest } from '@hornbeampond/adapters';
import { SystemTimerService, type TimerService } from '@hornbeampond/runtime';
import { answerJson, FakeServer, readRequestBody, type FakeServerOptions } from './FakeServer.js';

const DEFAULT_LOADS_PER_MINUTE = 6;
const DEFAULT_BURST = 2;
const MINUTE_MILLISECONDS = 60_000;

export interface FakeWeightStoreOptions extends FakeServerOptions {
  readonly timers?: TimerService;
  readonly loadsPerMinute?: number;
  /** Capacity of the token bucket, in loads. */
  readonly burst?: number;
}

export class FakeWeightStore extends FakeServer {
  readonly grantedLoads: LoadRequest[] = [];

  refusedCount = 0;

  private readonly timers: TimerService;

  private readonly loadsPerMinute: number;

  private readonly burst: number;

  private available: number;

  private refilledAt: number;

  constructor(options: FakeWeightStoreOptions = {}) {
    super(options);
    this.timers = options.timers ?? new SystemTimerService();
    this.loadsPerMinute = options.loadsPerMinute ?? DEFAULT_LOADS_PER_MINUTE;
    this.burst = options.burst ?? DEFAULT_BURST;
    this.available = this.burst;
    this.refilledAt = this.timers.monotonicNow();
  }

  static async start(options: FakeWeightStoreOptions = {}): Promise<FakeWeightStore> {
    const store = new FakeWeightStore(options);
    await store.restart();
    return store;
  }

  protected override resetState(): void {}

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.refill();
    switch (`${request.method} ${request.url}`) {
      case 'GET /rate': {
        const { loadsPerMinute } = this;
        answerJson(response, 200, { loadsPerMinute, available: Math.floor(this.available) });
        break;
      }
      case 'POST /loads': {
        const load = JSON.parse(String(await readRequestBody(request))) as LoadRequest;
        answerJson(response, 200, this.grantOrRefuseLoad(load));
        break;
      }
      default:
        answerJson(response, 404, { error: 'not found' });
    }
  }

  private refill(): void {
    const now = this.timers.monotonicNow();
    const added = ((now - this.refilledAt) * this.loadsPerMinute) / MINUTE_MILLISECONDS;
    this.available = Math.min(this.burst, this.available + added);
    this.refilledAt = now;
  }

  private grantOrRefuseLoad(load: LoadRequest): object {
    if (this.available >= 1) {
      this.available -= 1;
      this.grantedLoads.push(load);
      return { granted: true };
    }
    this.refusedCount += 1;
    const missing = 1 - this.available;
    return {
      granted: false,
      retryAfterMilliseconds: Math.ceil((missing * MINUTE_MILLISECONDS) / this.loadsPerMinute),
    };
  }
}
