/** Generates the block of docs/CALLERS.md, by block name. */
import { errorAnswers, errorKinds } from '../errors/errorKinds.js';
import { formatMarkdownTable } from './formatMarkdownTable.js';

export function describeErrors(): Record<string, string> {
  const rows = errorKinds.map((kind) => {
    const { status, title, ran, retryHelps } = errorAnswers[kind];
    return [`\`${kind}\``, `${status}`, `\`${ran}\``, retryHelps ? 'yes' : 'no', title];
  });
  const titles = ['kind', 'status', 'ran', '`Retry-After`', 'title'];
  return { errors: formatMarkdownTable(titles, rows) };
}
