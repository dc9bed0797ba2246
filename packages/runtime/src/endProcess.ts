/**
 * Ends the process within a bounded time. `process.exit` waits for the threads of file operations, so a
 * write to a stalled disk, or to an output that nobody reads, would keep the process for as long as it
 * takes; such a process ends itself with a signal instead.
 */
import { flushLogs } from './Logger.js';

/**
 * Writes the last log lines and ends the process with the exit code, or with SIGKILL if the lines are
 * not taken in time.
 * @param hasStalledWork - True if a file operation has not ended in time: ends with SIGKILL as well.
 */
export async function endProcess(exitCode: number, hasStalledWork = false): Promise<never> {
  const isFlushed = await flushLogs();
  if (hasStalledWork || !isFlushed) process.kill(process.pid, 'SIGKILL');
  process.exit(exitCode);
}
