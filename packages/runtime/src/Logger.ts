/**
 * Structured logs: one JSON object a line, with the event's number and name from the catalogue.
 */
import loglevel from 'loglevel';
import { logEvents, type LogEventName, type LogFields, type LogLevel } from '@hornbeampond/schema';

/** Fields that every line of a process carries. */
export interface LogContext {
  readonly process: string;
  readonly instance: string;
}

/** Writes one line; the line has no end-of-line character. */
export type WriteLine = (line: string) => void;

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

export class Logger {
  private readonly backing: loglevel.Logger;

  constructor(
    private readonly context: LogContext,
    level: LogLevel,
    private readonly writeLine: WriteLine = writeToStandardError,
  ) {
    this.backing = loglevel.getLogger(Symbol(context.instance));
    this.backing.methodFactory = () => (line: unknown) => this.writeLine(String(line));
    this.backing.setLevel(level, false);
  }

  /** Writes a numbered event. */
  write(event: LogEventName, fields: LogFields = {}): void {
    const { number, level, text } = logEvents[event];
    if (this.backing.levels[level.toUpperCase() as 'INFO'] < this.backing.getLevel()) return;
    const line = JSON.stringify({
      time: new Date().toISOString(),
      number,
      event,
      level,
      text,
      ...this.context,
      ...fields,
    });
    this.backing[level](line);
  }
}
