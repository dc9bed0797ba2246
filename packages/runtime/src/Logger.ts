/**
 * Structured logs: one JSON object a line, with the event's number and name from the catalogue.
 */
import { setTimeout } from 'node:timers/promises';
import loglevel from 'loglevel';
import { logEvents, type LogEventName, type LogFields, type LogLevel } from '@hornbeampond/schema';
import { LineWriter, writeToDescriptor } from './LineWriter.js';

/** Fields that every line of a process carries. */
export interface LogContext {
  readonly process: string;
  readonly instance: string;
}

/** Writes one line; the line has no end-of-line character. */
export type WriteLine = (line: string) => void;

const STANDARD_OUTPUT = 1;

/** One for the process, since its bounds are those of the one output. */
const standardOutputWriter = new LineWriter(writeToDescriptor(STANDARD_OUTPUT));

/** A reader that stands still must not keep a process from ending. */
const MAX_FLUSH_MILLISECONDS = 500;

/** Resolves once all lines have been written, or soon after; for the end of a process. */
export async function flushLogs(): Promise<void> {
  await Promise.race([standardOutputWriter.waitUntilIdle(), setTimeout(MAX_FLUSH_MILLISECONDS)]);
}

export class Logger {
  private readonly levelLogger: loglevel.Logger;

  constructor(
    private readonly context: LogContext,
    level: LogLevel,
    private readonly writeLine: WriteLine = standardOutputWriter.write,
  ) {
    this.levelLogger = loglevel.getLogger(Symbol(context.instance));
    this.levelLogger.methodFactory = () => (line: unknown) => this.writeLine(String(line));
    this.levelLogger.setLevel(level, false);
  }

  /** Writes a numbered event. */
  write(event: LogEventName, fields: LogFields = {}): void {
    const { number, level, text } = logEvents[event];
    if (this.levelLogger.levels[level.toUpperCase() as 'INFO'] < this.levelLogger.getLevel())
      return;
    const line = JSON.stringify({
      time: new Date().toISOString(),
      number,
      event,
      level,
      text,
      ...this.context,
      ...fields,
    });
    this.levelLogger[level](line);
  }
}
