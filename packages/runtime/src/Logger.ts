/**
 * Writes structured logs to standard output: one JSON object per line, with the number, name, level
 * and text of an event of the catalogue.
 */
import { setTimeout } from 'node:timers/promises';
import loglevel from 'loglevel';
import { logEvents, type LogEventName, type LogFields, type LogLevel } from '@hornbeampond/schema';
import { LineWriter, writeToDescriptor } from './LineWriter.js';

/** Fields of every line of a process. */
export interface LogContext {
  readonly process: string;
  readonly instance: string;
}

/** Writes one line, which is passed without a line terminator. */
export type WriteLine = (line: string) => void;

const STANDARD_OUTPUT = 1;

/** Shared by all loggers of the process, since its limits apply to the output as a whole. */
const standardOutputWriter = new LineWriter(writeToDescriptor(STANDARD_OUTPUT));

/** A stalled reader must not keep the process from ending. */
const MAX_FLUSH_MILLISECONDS = 500;

/** Resolves once pending writes are complete or a timeout has passed; for the end of a process. */
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

  /** Writes a line for the event, unless its level is below the minimum. */
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
