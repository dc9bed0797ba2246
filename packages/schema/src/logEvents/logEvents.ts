/**
 * The numbered catalogue of log events. A number is never given to another event. Each log line
 * is one JSON object with the number, the name and the fields that the event names.
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

/** Values that a log field may have. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The effect by which reducers log. */
export interface LogEffect {
  readonly type: 'log';
  readonly event: LogEventName;
  readonly fields: LogFields;
}
