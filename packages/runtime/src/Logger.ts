/**
 * Writes structured logs to standard output: one JSON object per line, with the number, name, level
 * and text of an event of the catalogue.
 */
import loglevel from 'loglevel';
import { logEvents, type LogEventName, type LogFields, type LogLevel } from '@hornbeampond/schema';
import { LineWriter, writeToDescriptor } from './LineWriter.js';
import { settlesWithin } from './settlesWithin.js';

/** Fields of every line of a process. */
export interface LogContext {
  readonly process: string;
  readonly instance: string;
}

/** Writes one line, which is passed without a line terminator. */
export type WriteLine = (line: string) => void;

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/** Shared by all loggers of the process, since its limits apply to the output as a whole. */
const standardOutputWriter = new LineWriter(writeToDescriptor(STANDARD_OUTPUT));

const standardErrorWriter = new LineWriter(writeToDescriptor(STANDARD_ERROR));

/** Writes a line to standard error without blocking, as `process.stderr` does on a pipe that nobody reads. */
export const writeErrorLine: WriteLine = standardErrorWriter.write;

/**
 * A stalled reader must not keep the process from ending. The time is waited in steps, since a process
 * that was held up itself for a moment finds the whole time over before it learns of completed writes.
 */
const FLUSH_STEPS = 5;
const FLUSH_STEP_MILLISECONDS = 100;

/**
 * Resolves once pending writes are complete, with true, or a timeout has passed; for the end of a
 * process.
 */
export async function flushLogs(): Promise<boolean> {
  const written = Promise.all([
    standardOutputWriter.waitUntilIdle(),
    standardErrorWriter.waitUntilIdle(),
  ]);
  for (let step = 0; step < FLUSH_STEPS; step += 1) {
    const { type } = await settlesWithin(written, FLUSH_STEP_MILLISECONDS);
    if (type === 'done') return true;
  }
  return false;
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
