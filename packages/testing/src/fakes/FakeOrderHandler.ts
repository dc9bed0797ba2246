/** Executes the orders of a fake engine. Refuses old fencing numbers if `checksFencing` is set. */
import type { TimerService } from '@hornbeampond/runtime';
import type { Milliseconds, Order, OrderResult } from '@hornbeampond/schema';

/** Which phases of a completion an engine runs. */
export type EngineRole = Extract<Order['action'], { type: 'changeRole' }>['role'];

/** The model, adapter and version that an engine has loaded. */
export interface LoadedModel {
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
}

export interface FakeOrderHandlerOptions {
  readonly timers: TimerService;
  readonly model?: string;
  readonly checksFencing: boolean;
  /** Time from the arrival of an order to its effect. */
  readonly orderDelay: Milliseconds;
  readonly onChange: () => void;
}

const noOrder = { epoch: -1, sequence: -1 } as const;

export class FakeOrderHandler {
  /** Executed orders, in order of execution. */
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

  /** Executes an order after `orderDelay`, unless the engine has died by then. */
  async handleOrder(order: Order, hasDied: () => boolean): Promise<OrderResult> {
    const result = this.admit(order);
    if (result !== 'done') return result;
    const { orderDelay, timers } = this.options;
    if (orderDelay > 0) await timers.wait(orderDelay);
    if (hasDied()) return 'failed';
    this.carryOut(order);
    return 'done';
  }

  /** Discards the newest fencing number, as a restarted engine does. */
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
