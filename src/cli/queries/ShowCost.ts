/** Command that shows the cost of each stage by client account. */
import type { CostLine } from '../../common/ledger/CostAggregator.js';
import type { Page } from '../Page.js';
import { priceOf, type Prices } from '../../common/ledger/Prices.js';
import { NO_USAGE } from '../../common/protocol/Usage.js';

import { writeReport, readPrices, type Report, type ReportOptions } from '../Report.js';
import type { Cell } from '../Table.js';
import { fetchLedger } from './FetchLedger.js';
import { usageError, type CliContext, type CliResult } from '../Types.js';

const MS_PER_SECOND = 1000;

/** Arguments of the `cost` command. */
export interface CostArguments extends ReportOptions {
  readonly account?: string;
  /** `YYYY-MM`; default: all months. */
  readonly month?: string;
  /** Path of the price list. */
  readonly prices?: string;
}

/**
 * Shows costs by month, client account, template and stage.
 * @param context - connection and output
 * @param args - filter, price list, format
 * @returns text for the operator
 */
export async function showCost(
  context: CliContext,
  args: CostArguments,
): Promise<CliResult<string[]>> {
  if (args.month !== undefined && !/^\d{4}-\d{2}$/.test(args.month)) {
    return usageError(`--month: expected YYYY-MM, got "${args.month}"`);
  }
  const prices = readPrices(args.prices);
  if (!prices.ok) return prices;
  const ledger = await fetchLedger(context);
  if (!ledger.ok) return ledger;
  const lines = ledger.value.lines({
    ...(args.account !== undefined && { account: args.account }),
    ...(args.month !== undefined && { month: args.month }),
  });
  const format = context.json ? 'json' : args.format;
  return writeReport(createCostReport(lines, prices.value), { ...args, format });
}

/**
 * Creates the cost report.
 * @param lines - costs
 * @param prices - price list
 * @returns report
 */
export function createCostReport(lines: readonly CostLine[], prices: Prices): Report {
  const priced = lines.map((line) => ({ ...line, ...amountsOf(line, prices) }));
  const header = [
    ...['MONTH', 'ACCOUNT', 'TEMPLATE', 'STAGE', 'CALLS', 'TOKENS IN', 'TOKENS OUT'],
    ...['USEFUL S', 'OVERHEAD S', 'AGENTS S', 'ENTRIES S', `AMOUNT (${prices.currency})`],
  ];
  const rows = priced.map((line): Cell[] => [
    ...[line.month, line.account, line.template, line.stage],
    ...[line.useful.calls, line.useful.tokensIn, line.useful.tokensOut],
    line.useful.acceleratorMs / MS_PER_SECOND,
    line.overhead.acceleratorMs / MS_PER_SECOND,
    line.agents.acceleratorMs / MS_PER_SECOND,
    line.entries.acceleratorMs / MS_PER_SECOND,
    line.amount,
  ]);
  const values = priced.flatMap(
    ({ month, account, template, stage, usefulAmount, overheadAmount }) => [
      { month, account, stage: `${template}/${stage}`, class: 'useful', amount: usefulAmount },
      { month, account, stage: `${template}/${stage}`, class: 'overhead', amount: overheadAmount },
    ],
  );
  const page = (): Page => ({
    title: 'Cost by client account and stage',
    notes: [
      'Useful work reached a caller; overhead was cancelled, hedged in vain or failed.',
      'Agents and entries count the same work; each line takes the greater count of an agent incarnation.',
    ],
    plots: [
      {
        caption: `Amount by account and stage (${prices.currency})`,
        spec: {
          data: { values },
          width: 480,
          mark: 'bar',
          encoding: {
            y: { field: 'account', type: 'nominal', title: 'Client account' },
            x: {
              field: 'amount',
              type: 'quantitative',
              aggregate: 'sum',
              title: prices.currency,
            },
            color: { field: 'stage', type: 'nominal', title: 'Stage' },
          },
        },
      },
      {
        caption: 'Useful work and overhead by month',
        spec: {
          data: { values },
          width: 480,
          mark: 'bar',
          encoding: {
            y: { field: 'month', type: 'ordinal', title: 'Month' },
            x: {
              field: 'amount',
              type: 'quantitative',
              aggregate: 'sum',
              title: prices.currency,
            },
            color: { field: 'class', type: 'nominal', title: 'Class' },
          },
        },
      },
    ],
    header,
    rows,
  });
  return { header, rows, json: { currency: prices.currency, lines: priced }, page };
}

function amountsOf(line: CostLine, prices: Prices) {
  const usefulAmount = priceOf(prices, line.stage, line.useful);
  const overhead = prices.billOverhead ? line.overhead : NO_USAGE;
  const overheadAmount = priceOf(prices, line.stage, overhead);
  return { usefulAmount, overheadAmount, amount: usefulAmount + overheadAmount };
}
