/** The definition of one log event, and the log levels. */

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof logLevels)[number];

export interface LogEventDefinition {
  readonly number: number;
  readonly level: LogLevel;
  /** What happened, for operators. */
  readonly text: string;
}

export function defineLogEvent(number: number, level: LogLevel, text: string): LogEventDefinition {
  return { number, level, text };
}
