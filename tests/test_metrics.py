import testtools
from prometheus_client.parser import text_string_to_metric_families

from poplaryard.metrics import Metrics, Sample


class MetricsTest(testtools.TestCase):
    def test_prometheus_parser_reads_the_metrics(self):
        """Guards against output that Prometheus cannot parse."""
        samples = [
            Sample("poplaryard_ready", 1),
            Sample("poplaryard_shard_queued", 3, {"shard": "dc1/0"}),
            Sample("poplaryard_store_calls_total", 7),
        ]
        metrics = Metrics(lambda: samples)
        metrics.answered(1000, 0.02)
        metrics.answered(2001, 0.2)
        content, headers = metrics.text()
        values = {
            (sample.name, *sorted(sample.labels.items())): sample.value
            for family in text_string_to_metric_families(content.decode())
            for sample in family.samples
        }
        self.assertIn("text/plain", headers["Content-Type"])
        self.assertEqual(3, values["poplaryard_shard_queued", ("shard", "dc1/0")])
        self.assertEqual(7, values["poplaryard_store_calls_total",])
        self.assertEqual(1, values["poplaryard_answers_total", ("code", "2001")])
        self.assertEqual(2, values["poplaryard_answer_seconds_count",])
        self.assertGreater(values["process_resident_memory_bytes",], 0)

    def test_samples_of_a_released_shard_are_dropped(self):
        """Guards against samples of a shard that another process owns now."""
        samples = [Sample("poplaryard_shard_queued", 3, {"shard": "dc1/0"})]
        metrics = Metrics(lambda: samples)
        metrics.text()
        samples.clear()
        self.assertNotIn(b"dc1/0", metrics.text()[0])
