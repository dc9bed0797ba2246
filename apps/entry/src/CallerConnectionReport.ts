/**
 * Counts the connections of callers that are closed without an answer and the input that is refused before
 * it is a request, and logs them: one line for all of the time since the last one, so that a crowd of
 * clients does not fill the log.
 */
import type { Logger, Metrics } from '@hornbeampond/runtime';
import { HornbeampondError, type CallerCloseReason } from '@hornbeampond/schema';
import { heldKinds, type HeldBytes } from '@hornbeampond/transport';

export class CallerConnectionReport {
  /** By close reason or error kind, since the last line. */
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {}

  recordClose(reason: CallerCloseReason): void {
    this.metrics.count({ metric: 'callerConnectionsClosed', label: reason });
    this.add(reason);
  }

  recordRefusal(error: unknown): void {
    if (error instanceof HornbeampondError) this.add(error.kind);
  }

  /** Called at intervals with the memory that callers hold. */
  recordHeld(held: HeldBytes): void {
    heldKinds.forEach((kind) => this.metrics.setGauge('callerMemory', held[kind], kind));
    if (this.counts.size === 0) return;
    const { heap, buffers } = held;
    this.logger.write('callersRefused', { ...Object.fromEntries(this.counts), heap, buffers });
    this.counts.clear();
  }

  private add(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}
