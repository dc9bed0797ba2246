/** The binary `hornbeampond-dev`: runs the development cluster until it is interrupted. */
import { parseArgs } from 'node:util';
import { exitCodes, failWithBadInput, version } from '@hornbeampond/runtime';
import { logLevels } from '@hornbeampond/schema';
import { DevCluster } from './DevCluster.js';
import { devKeys } from './devTables.js';

const NAME = 'hornbeampond-dev';

const help = `${NAME}: a complete cluster with fakes of all external systems, in one process on loopback

Usage: ${NAME} [--port 8080] [--operator-port 9080] [--log-level warn]

  --port NUMBER           where callers connect; 0 selects any free port
  --operator-port NUMBER  where operators connect; 0 selects any free port
  --log-level LEVEL       ${logLevels.join(', ')}
  --version               print the version
  --help                  print this text
`;

function readOptions() {
  const { values } = parseArgs({
    options: {
      port: { type: 'string', default: '8080' },
      'operator-port': { type: 'string', default: '9080' },
      'log-level': { type: 'string', default: 'warn' },
      version: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });
  const logLevel = logLevels.find((level) => level === values['log-level']);
  if (logLevel === undefined) throw new Error(`--log-level takes ${logLevels.join(', ')}`);
  const ports = [Number(values.port), Number(values['operator-port'])];
  if (ports.some((port) => !Number.isInteger(port) || port < 0 || port > 65_535)) {
    throw new Error('a port is a whole number from 0 to 65535');
  }
  const [callersPort = 0, operatorsPort = 0] = ports;
  return { ...values, logLevel, callersPort, operatorsPort };
}

async function serve(options: ReturnType<typeof readOptions>): Promise<void> {
  const cluster = new DevCluster(options);
  const stop = () => {
    void cluster.close().then(() => process.exit(exitCodes.done));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  const ports = await cluster.start();
  const entry = `http://127.0.0.1:${ports.callers}`;
  console.log(`hornbeampond ready entry=${entry} operator=http://127.0.0.1:${ports.operators}`);
  console.log(
    `try: curl -N ${entry}/v1/chat/completions -H "Authorization: Bearer ${devKeys.workspace}" ` +
      `-d '{"stream":true,"messages":[{"role":"user","content":"Which carriage has the bar?"}]}'`,
  );
}

async function main(): Promise<void> {
  let options: ReturnType<typeof readOptions>;
  try {
    options = readOptions();
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    failWithBadInput([`${NAME}: ${reason}`, `see "${NAME} --help"`]);
    return;
  }
  if (options.help) console.log(help);
  else if (options.version) console.log(`${NAME} ${version}`);
  else await serve(options);
}

try {
  await main();
} catch (error) {
  console.error(`${NAME}: ${error instanceof Error ? error.message : String(error)}`);
  process.exit(exitCodes.failed);
}
