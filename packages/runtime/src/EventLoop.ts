/**
 * Runs a reducer: one event at a time, its effects in order, each event whole before the next.
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

  /** Takes in an event; one that an effect raises waits until the present one is done. */
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
      // One effect that fails must not keep the others of the event from being carried out.
      effects.forEach((effect) => runGuarded(() => this.applyEffect(effect)));
    });
  }
}
