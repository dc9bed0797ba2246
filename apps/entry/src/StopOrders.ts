/**
 * The orders with which this entry stops runs of a call at backend servers, kept for as long as the call is
 * open. An order may stop its run at any later time, whatever has been answered to it, unless it is proved
 * that its backend server did not carry it out.
 */
import type { StopOrderOutcome } from '@hornbeampond/schema';
import type { CallerExchange } from './CallerServer.js';

/** One order; its outcome is undefined until it has been answered or given up. */
export class StopOrder {
  outcome: StopOrderOutcome | undefined;

  /** Resolves once the order has an outcome. */
  readonly ended: Promise<void>;

  private resolveEnded: () => void = () => {};

  constructor() {
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
  }

  end(outcome: StopOrderOutcome): void {
    this.outcome = outcome;
    this.resolveEnded();
  }
}

export class StopOrders {
  /**
   * By call and instance. Backend servers know a run by its call, so an order sent for an earlier attempt
   * of the call may stop a later one at the same server.
   */
  private readonly ordersByCall = new WeakMap<CallerExchange, Map<string, StopOrder[]>>();

  /** Must be called before the order is sent. */
  add(call: CallerExchange, instance: string): StopOrder {
    const order = new StopOrder();
    const ordersByInstance = this.ordersByCall.get(call) ?? new Map<string, StopOrder[]>();
    ordersByInstance.set(instance, [...this.list(call, instance), order]);
    this.ordersByCall.set(call, ordersByInstance);
    return order;
  }

  /** The orders so far for runs of a call at an instance. Later ones have not ended what has ended by now. */
  list(call: CallerExchange, instance: string): readonly StopOrder[] {
    return this.ordersByCall.get(call)?.get(instance) ?? [];
  }
}

/** Returns a promise if one of the orders is out; it resolves once all are answered. */
export function waitForAnswers(orders: readonly StopOrder[]): Promise<unknown> | undefined {
  const pending = orders.filter(({ outcome }) => outcome === undefined);
  return pending.length === 0 ? undefined : Promise.all(pending.map(({ ended }) => ended));
}

/** True unless there was no order, or each is proved not to have been carried out. */
export function mayHaveStopped(orders: readonly StopOrder[]): boolean {
  return orders.some(({ outcome }) => outcome !== 'notCarriedOut');
}
