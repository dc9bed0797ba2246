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
  countUnreadable(): void;
}

export class StatementReceiver {
  /** Backend servers with an unreadable statement, of which one is logged for each. */
  private readonly loggedServers = new Set<string>();

  constructor(private readonly options: StatementReceiverOptions) {}

  receive(instance: string, { load, unreadable, ...stated }: ServerStatement): void {
    const { timers, dispatch, readState } = this.options;
    if (unreadable !== undefined) this.recordUnreadable(instance, unreadable);
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

  private recordUnreadable(instance: string, header: string): void {
    this.options.countUnreadable();
    if (this.loggedServers.has(instance)) return;
    this.loggedServers.add(instance);
    this.options.logger.write('statementUnreadable', { backendServer: instance, header });
  }
}
