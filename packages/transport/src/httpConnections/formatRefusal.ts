/** Formats a refusal that is written into a connection for which there is no response object. */
import { STATUS_CODES } from 'node:http';
import { toProblemDocument, type HornbeampondError } from '@hornbeampond/schema';

export function formatRefusal(error: HornbeampondError): string {
  const problem = toProblemDocument(error);
  const body = JSON.stringify(problem);
  const lines = [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    ...(problem.retryAfterSeconds === undefined
      ? []
      : [`retry-after: ${problem.retryAfterSeconds}`]),
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
