/**
 * The catalogue of log events of all processes. Each event has a unique number, which is not reused
 * after the event is removed.
 */
import { commonLogEvents } from './commonLogEvents.js';
import { controllerLogEvents } from './controllerLogEvents.js';
import { entryLogEvents } from './entryLogEvents.js';
import { storeLogEvents } from './storeLogEvents.js';

export const logEvents = {
  ...commonLogEvents,
  ...entryLogEvents,
  ...storeLogEvents,
  ...controllerLogEvents,
} as const;

export type LogEventName = keyof typeof logEvents;

/** Fields of a log line beside those that every line has. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The effect that a reducer returns to write a log line. */
export interface LogEffect {
  readonly type: 'log';
  readonly event: LogEventName;
  readonly fields: LogFields;
}
