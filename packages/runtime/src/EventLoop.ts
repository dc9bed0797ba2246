/**
 * Runs a reducer: one event at a time, its effects in order, each event whole before the next.
 */
import type { Reducer } from '@hornbeampond/schema';

export class EventLoop<State, Event, Effect> {
  private readonly waiting: Event[] = [];

  private running = false;

  constructor(
    readonly state: State,
    private readonly reduce: Reducer<State, Event, Effect>,
    private readonly carryOut: (effect: Effect) => void,
    private readonly onError: (error: unknown, event: Event) => void,
  ) {}

  /** Takes in an event; one that an effect raises waits until the present one is done. */
  dispatch(event: Event): void {
    this.waiting.push(event);
    if (this.running) return;
    this.running = true;
    try {
      for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
        this.take(next);
      }
    } finally {
      this.running = false;
    }
  }

  private take(event: Event): void {
    const attempt = (work: () => void) => {
      try {
        work();
      } catch (error) {
        this.onError(error, event);
      }
    };
    attempt(() => {
      const effects = this.reduce(this.state, event);
      // One effect that fails must not keep the others of the event from being carried out.
      effects.forEach((effect) => attempt(() => this.carryOut(effect)));
    });
  }
}
