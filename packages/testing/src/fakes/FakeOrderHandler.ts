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

const NO_FENCING = { epoch: -1, sequence: -1 } as const;

export class FakeOrderHandler {
  /** Executed orders, in order of execution. */
  readonly orders: Order[] = [];

  loaded: LoadedModel;

  role: EngineRole = 'both';

  checksFencing: boolean;

  ordersFail = false;

  private newestFencing: { readonly epoch: number; readonly sequence: number } = NO_FENCING;

  constructor(private readonly options: FakeOrderHandlerOptions) {
    this.loaded = { model: options.model };
    this.checksFencing = options.checksFencing;
  }

  /**
   * Executes an order after `orderDelay`, unless its connection has been closed by then, as it is
   * when the engine dies.
   */
  async handleOrder(order: Order, isClosed: () => boolean): Promise<OrderResult> {
    const result = this.admitOrder(order);
    if (result !== 'done') return result;
    const { orderDelay, timers } = this.options;
    if (orderDelay > 0) await timers.wait(orderDelay);
    if (isClosed()) return 'failed';
    this.executeOrder(order);
    return 'done';
  }

  /** Discards the newest fencing number, as a restarted engine does. */
  resetFencing(): void {
    this.newestFencing = NO_FENCING;
  }

  /** Checks the fencing number and injected failure; 'done' means that the order may be executed. */
  private admitOrder({ epoch, sequence }: Order): OrderResult {
    const { newestFencing } = this;
    const old =
      epoch < newestFencing.epoch ||
      (epoch === newestFencing.epoch && sequence < newestFencing.sequence);
    if (old && this.checksFencing) return 'refusedAsOld';
    if (this.ordersFail) return 'failed';
    if (!old) this.newestFencing = { epoch, sequence };
    return 'done';
  }

  private executeOrder(order: Order): void {
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
