import testtools
from prometheus_client.parser import text_string_to_metric_families

from poplaryard.metrics import Metrics, Reading


class MetricsTest(testtools.TestCase):
    def test_official_parser_reads_the_metrics(self):
        """Guards against a text that Prometheus does not take."""
        readings = [
            Reading("poplaryard_ready", 1),
            Reading("poplaryard_shard_queued", 3, {"shard": "dc1/0"}),
            Reading("poplaryard_store_calls_total", 7),
        ]
        metrics = Metrics(lambda: readings)
        metrics.answered(1000, 0.02)
        metrics.answered(2001, 0.2)
        content, headers = metrics.text()
        found = {
            (sample.name, *sorted(sample.labels.items())): sample.value
            for family in text_string_to_metric_families(content.decode())
            for sample in family.samples
        }
        self.assertIn("text/plain", headers["Content-Type"])
        self.assertEqual(3, found["poplaryard_shard_queued", ("shard", "dc1/0")])
        self.assertEqual(7, found["poplaryard_store_calls_total",])
        self.assertEqual(1, found["poplaryard_answers_total", ("code", "2001")])
        self.assertEqual(2, found["poplaryard_answer_seconds_count",])
        self.assertGreater(found["process_resident_memory_bytes",], 0)

    def test_a_shard_that_is_gone_is_not_shown(self):
        """Guards against figures of a shard that another process owns now."""
        readings = [Reading("poplaryard_shard_queued", 3, {"shard": "dc1/0"})]
        metrics = Metrics(lambda: readings)
        metrics.text()
        readings.clear()
        self.assertNotIn(b"dc1/0", metrics.text()[0])
