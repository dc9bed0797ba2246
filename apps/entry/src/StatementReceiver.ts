/**
 * Dispatches what backend servers say about themselves in their answers: their load, and statements
 * that change what the entry believes.
 */
import type { ServerStatement } from '@hornbeampond/adapters';
import {
  isStatementOfInterest,
  type EntryEventPayload,
  type EntryState,
} from '@hornbeampond/entry-core';
import type { Logger, TimerService } from '@hornbeampond/runtime';

export interface StatementReceiverOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readState(): EntryState;
  dispatch(payload: EntryEventPayload): void;
}

export class StatementReceiver {
  /** The last unreadable statement of each backend server, which is logged once. */
  private readonly unreadable = new Map<string, string>();

  constructor(private readonly options: StatementReceiverOptions) {}

  receive(instance: string, { load, unreadable, ...stated }: ServerStatement): void {
    const { timers, dispatch, readState } = this.options;
    if (unreadable !== undefined) this.logUnreadable(instance, unreadable);
    const statement = { instance, ...stated };
    if (isStatementOfInterest(readState(), statement)) {
      dispatch({ type: 'serverStated', ...statement });
    }
    if (load === undefined) return;
    dispatch({
      type: 'loadReported',
      report: { instance, measuredAt: timers.wallNow(), ...load },
    });
  }

  private logUnreadable(instance: string, header: string): void {
    if (this.unreadable.get(instance) === header) return;
    this.unreadable.set(instance, header);
    this.options.logger.write('statementUnreadable', { backendServer: instance, header });
  }
}
