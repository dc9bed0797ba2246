/**
 * Runs a reducer on events one at a time. All effects of an event are applied in order before the
 * next event is handled.
 */
import type { Reducer } from '@hornbeampond/schema';

export class EventLoop<State, Event, Effect> {
  private readonly queue: Event[] = [];

  private isDispatching = false;

  constructor(
    readonly state: State,
    private readonly reduce: Reducer<State, Event, Effect>,
    private readonly applyEffect: (effect: Effect) => void,
    private readonly onError: (error: unknown, event: Event) => void,
  ) {}

  /** Handles an event; one that is dispatched while another is handled is queued. */
  dispatch(event: Event): void {
    this.queue.push(event);
    if (this.isDispatching) return;
    this.isDispatching = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        this.handle(next);
      }
    } finally {
      this.isDispatching = false;
    }
  }

  private handle(event: Event): void {
    const runGuarded = (action: () => void) => {
      try {
        action();
      } catch (error) {
        this.onError(error, event);
      }
    };
    runGuarded(() => {
      const effects = this.reduce(this.state, event);
      // A failed effect must not prevent the other effects of the event.
      effects.forEach((effect) => runGuarded(() => this.applyEffect(effect)));
    });
  }
}
