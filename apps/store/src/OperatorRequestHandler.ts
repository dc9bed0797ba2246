/** Handles operators' HTTP requests that make a store found or join a cluster or remove a member. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HornbeampondError, type OperatorKey, type StoreResponse } from '@hornbeampond/schema';
import {
  authorizeOperator,
  makeUnconfirmedChangeError,
  readBody,
  writeJson,
  type UnconfirmedOutcome,
} from '@hornbeampond/transport';

const MAX_BODY_BYTES = 4096;

export interface OperatorRequestHandlerOptions {
  readonly operatorKeys: readonly OperatorKey[];
  foundCluster(): void;
  requestJoin(): void;
  removeStore(instance: string): Promise<StoreResponse>;
}

function parseInstance(body: Buffer): string {
  const value: unknown = JSON.parse(body.toString('utf8'));
  if (typeof value === 'object' && value !== null && 'instance' in value) {
    if (typeof value.instance === 'string') return value.instance;
  }
  throw new HornbeampondError('badRequest', 'The body must name the "instance"');
}

/** Only these two responses say that nothing was done. */
function classifyOutcome(type: StoreResponse['type']): UnconfirmedOutcome {
  return type === 'unavailable' || type === 'notLeader' ? 'unavailable' : 'unsure';
}

export class OperatorRequestHandler {
  constructor(private readonly options: OperatorRequestHandlerOptions) {}

  async handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<boolean> {
    const [, folder, operation] = url.pathname.split('/');
    if (folder !== 'store') return false;
    if (request.method !== 'POST') throw new HornbeampondError('methodNotAllowed', 'Use POST');
    authorizeOperator(request, this.options.operatorKeys);
    const body = await readBody(request, MAX_BODY_BYTES);
    switch (operation) {
      case 'found':
        this.options.foundCluster();
        break;
      case 'join':
        this.options.requestJoin();
        break;
      case 'remove': {
        const { type } = await this.options.removeStore(parseInstance(body));
        if (type !== 'accepted') {
          throw makeUnconfirmedChangeError(classifyOutcome(type), 'The removal of the store');
        }
        break;
      }
      default:
        throw new HornbeampondError('routeNotFound', 'There is no such operation on stores');
    }
    writeJson(response, 200, {});
    return true;
  }
}
