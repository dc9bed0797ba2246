/** Ends while its event loop is kept busy; the arguments are the number of log lines and the busy time. */
import { endProcess } from '../endProcess.js';
import { Logger } from '../Logger.js';

const [lines = '0', busyMilliseconds = '0'] = process.argv.slice(2);

const logger = new Logger({ process: 'ending', instance: 'ending-1' }, 'info');
for (let number = 0; number < Number(lines); number += 1) {
  logger.write('shutdownFinished', { number });
}
setTimeout(() => {
  const endsAt = performance.now() + Number(busyMilliseconds);
  while (performance.now() < endsAt);
}, 10);
await endProcess(0);
