/** How a fake engine takes orders: it refuses old fencing numbers, unless it ignores fencing. */
import type { TimerService } from '@hornbeampond/runtime';
import type { Milliseconds, Order, OrderResult } from '@hornbeampond/schema';

/** Which parts of a completion an engine takes. */
export type EngineRole = Extract<Order['action'], { type: 'changeRole' }>['role'];

/** What an engine has loaded. */
export interface LoadedModel {
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

export interface FakeOrderHandlerOptions {
  readonly timers: TimerService;
  readonly model?: string;
  readonly checksFencing: boolean;
  /** How long an order takes. */
  readonly orderDelay: Milliseconds;
  readonly onChange: () => void;
}

const noOrder = { epoch: -1, sequence: -1 } as const;

export class FakeOrderHandler {
  /** Orders that were carried out, in that order. */
  readonly orders: Order[] = [];

  loaded: LoadedModel;

  role: EngineRole = 'both';

  checksFencing: boolean;

  ordersFail = false;

  private newestFencing: { readonly epoch: number; readonly sequence: number } = noOrder;

  constructor(private readonly options: FakeOrderHandlerOptions) {
    this.loaded = { model: options.model };
    this.checksFencing = options.checksFencing;
  }

  /** Carries an order out, unless `isGone` says in the end that the engine died meanwhile. */
  async handleOrder(order: Order, hasDied: () => boolean): Promise<OrderResult> {
    const result = this.admit(order);
    if (result !== 'done') return result;
    const { orderDelay, timers } = this.options;
    if (orderDelay > 0) await timers.wait(orderDelay);
    if (hasDied()) return 'failed';
    this.carryOut(order);
    return 'done';
  }

  /** A restarted engine knows no fencing number. */
  resetFencing(): void {
    this.newestFencing = noOrder;
  }

  private admit({ epoch, sequence }: Order): OrderResult {
    const { newestFencing: newest } = this;
    const old = epoch < newest.epoch || (epoch === newest.epoch && sequence < newest.sequence);
    if (old && this.checksFencing) return 'refusedAsOld';
    if (this.ordersFail) return 'failed';
    if (!old) this.newestFencing = { epoch, sequence };
    return 'done';
  }

  private carryOut(order: Order): void {
    this.orders.push(order);
    if (order.action.type === 'load') {
      const { model, adapter, version } = order.action;
      this.loaded = { model, adapter, version };
    } else {
      this.role = order.action.role;
    }
    this.options.onChange();
  }
}
